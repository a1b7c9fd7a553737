//! Plots of the measurements.

use crate::cluster::measure::Spread;
use crate::restart::{AGES, ARMS, Arm, RestartResult};
use crate::routing::Failover;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Plots the service over the age of the list, a line for each arm.
pub fn restart(lines: &[RestartResult], file: &Path) -> Result<(), Box<dyn Error + Send + Sync>> {
    let area = SVGBackend::new(file, (800, 480)).into_drawing_area();
    let boxed = |e: String| -> Box<dyn Error + Send + Sync> { e.into() };
    let draw = || -> Result<(), Box<dyn Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(
                "Service in the first 10 s after all brokers restart without discovery",
                ("sans-serif", 18),
            )
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(48)
            .build_cartesian_2d(-0.2f64..AGES.len() as f64 - 0.8, 0f64..1.02)?;
        let name = |x: &f64| {
            let whole = (x - x.round()).abs() < 0.01;
            AGES.get(x.round() as usize)
                .filter(|_| whole && *x > -0.1)
                .map_or(String::new(), |(_, n)| (*n).into())
        };
        chart
            .configure_mesh()
            .x_labels(AGES.len() + 1)
            .x_label_formatter(&name)
            .x_desc("age of the list")
            .y_desc("value answered in time / value requested")
            .draw()?;
        for (n, arm) in ARMS.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let place = |l: &RestartResult| {
                AGES.iter().position(|(a, _)| *a == l.age_s).map(|x| (x as f64, l.service))
            };
            let points: Vec<(f64, f64)> = lines.iter().filter(|l| l.arm == *arm).filter_map(place).collect();
            let label = match arm {
                Arm::None => "no list",
                Arm::Full => "full trust",
                Arm::Weighed => "weighed trust",
                Arm::Possible => "the valid entries of the list",
                Arm::Right => "an up-to-date list",
            };
            chart
                .draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))?
                .label(label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
            chart.draw_series(points.into_iter().map(|p| Circle::new(p, 3, colour.filled())))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| boxed(format!("{}: {e}", file.display())))
}

/// Plots the share of the parts that each node receives during a failover.
pub fn failover(measured: &Failover, file: &Path) -> Result<(), Box<dyn Error + Send + Sync>> {
    let draw = || -> Result<(), Box<dyn Error>> {
        let area = SVGBackend::new(file, (800, 360)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Both regular nodes fail at 10 s and are back, cold, at 20 s", ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(48)
            .build_cartesian_2d(0f64..measured.seconds.len() as f64, 0f64..1.02)?;
        chart.configure_mesh().x_desc("seconds").y_desc("share of the parts").draw()?;
        for (n, name) in ["regular 1", "regular 2", "hot spare"].iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let points = measured.seconds.iter().enumerate().map(|(s, shares)| (s as f64 + 0.5, shares[n]));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| format!("{}: {e}", file.display()).into())
}

/// Plots the share of brokers that have received a command over time, a line for each cluster size, at 5%
/// loss.
pub fn spread(lines: &[Spread], file: &Path) -> Result<(), Box<dyn Error + Send + Sync>> {
    let shown = |l: &&Spread| (l.loss - 0.05).abs() < 1e-9;
    let series = lines
        .iter()
        .filter(shown)
        .map(|l| (format!("{} brokers", l.brokers), l.course.clone()))
        .collect::<Vec<_>>();
    let longest = series.iter().flat_map(|(_, c)| c.last()).map(|p| p.0).fold(1.0, f64::max);
    let (x, y) = ((0.0, longest), (0.0, 1.05));
    chart(
        "Spread of an operator command, 5% of datagrams lost",
        "ms since the command was issued",
        "share of brokers that have it",
        &series,
        x,
        y,
        file,
    )
}

/// Plots the bytes that a broker sends for one command over the number of brokers, for gossip and for a plain
/// broadcast by the originating broker.
pub fn spread_bytes(lines: &[Spread], file: &Path) -> Result<(), Box<dyn Error + Send + Sync>> {
    let of = |loss: f64, y: fn(&Spread) -> f64| {
        lines
            .iter()
            .filter(|l| (l.loss - loss).abs() < 1e-9)
            .map(|l| ((l.brokers as f64).log2(), y(l)))
            .collect::<Vec<_>>()
    };
    let series = vec![
        ("gossip, no loss".to_owned(), of(0.0, |l| l.bytes)),
        ("gossip, 30% loss".to_owned(), of(0.3, |l| l.bytes)),
        ("plain broadcast, by the originating broker, no loss".to_owned(), of(0.0, |l| l.plain_first)),
    ];
    let most = series[..2].iter().flat_map(|(_, s)| s).map(|p| p.1).fold(1.0, f64::max) * 2.0;
    let (x, y) = ((1.0, 9.0), (0.0, most));
    chart("Bytes that a broker sends for one command", "brokers, log2", "bytes", &series, x, y, file)
}

/// The label and the points of a line.
type Series = (String, Vec<(f64, f64)>);

/// Plots lines over the given ranges of x and y into an SVG file.
fn chart(
    caption: &str,
    x_desc: &str,
    y_desc: &str,
    series: &[Series],
    x: (f64, f64),
    y: (f64, f64),
    file: &Path,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    let area = SVGBackend::new(file, (800, 480)).into_drawing_area();
    let draw = || -> Result<(), Box<dyn Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(x.0..x.1, y.0..y.1)?;
        chart.configure_mesh().x_desc(x_desc).y_desc(y_desc).draw()?;
        for (n, (label, points)) in series.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            chart
                .draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))?
                .label(label.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| e.to_string().into())
}
