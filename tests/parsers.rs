//! Runs every parser on randomly fragmented valid messages and on random input, from fixed seeds.

use pebbleturn::frontends::catalogue::apdu::*;
use pebbleturn::frontends::catalogue::ber::{self, Element};
use pebbleturn::frontends::catalogue::diagnostic::{Condition, Diagnostic};
use pebbleturn::frontends::catalogue::marc::{Field, Record};
use pebbleturn::frontends::catalogue::search::*;
use pebbleturn::frontends::catalogue::{cql, rpn, sru};
use pebbleturn::frontends::platform::frame;
use pebbleturn::http::{HttpError, MessageKind, Reader};
use pebbleturn::net::Pool;
use quickcheck::{Arbitrary, Gen};

/// Checks a property on 300 random values, the same in every run.
fn check<A: Arbitrary>(seed: u64, property: impl Fn(A)) {
    let mut source = Gen::from_size_and_seed(60, seed);
    (0..300).for_each(|_| property(A::arbitrary(&mut source)));
}

/// Reads all messages of `bytes`, passed to the reader in fragments of the given sizes.
fn read_http(kind: MessageKind, bytes: &[u8], cuts: &[u8]) -> Result<Vec<(String, Vec<u8>)>, HttpError> {
    let (pool, mut reader, mut out) = (Pool::new(4), Reader::new(kind), vec![]);
    let (mut held, mut from, mut cuts) = (vec![], 0, cuts.iter().cycle());
    while from < bytes.len() {
        let to = (from + 1 + usize::from(*cuts.next().unwrap_or(&255))).min(bytes.len());
        held.extend_from_slice(&bytes[from..to]);
        from = to;
        loop {
            let used = reader.advance(&held, &pool)?;
            held.drain(..used);
            if !reader.is_done() {
                break;
            }
            let head = reader.head().unwrap();
            out.push((format!("{}{}{}", head.method, head.target, head.status), reader.body().to_vec()));
            reader.reset();
        }
    }
    Ok(out)
}

const REQUESTS: &[u8] =
    b"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET /-/ready HTTP/1.1\r\n\r\n\
    \r\nPOST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n";

#[test]
fn http_messages_parse_alike_however_they_are_fragmented() {
    let whole = read_http(MessageKind::Request, REQUESTS, &[]).unwrap();
    let bodies: Vec<&[u8]> = whole.iter().map(|(_, b)| b.as_slice()).collect();
    assert_eq!(bodies, [b"hello".as_slice(), b"", b"abcde"]);
    check(1, move |cuts: Vec<u8>| {
        assert_eq!(read_http(MessageKind::Request, REQUESTS, &cuts).unwrap(), whole)
    });
}

#[test]
fn http_rejects_ambiguous_and_oversized_messages() {
    let read = |text: &str| read_http(MessageKind::Request, text.as_bytes(), &[]);
    let post = |headers: &str| read(&format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n"));
    for bad in [
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: -1",
        "Content-Length: +1",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip",
    ] {
        assert!(matches!(post(bad), Err(HttpError::Malformed(_))), "{bad}");
    }
    assert_eq!(post("Content-Length: 65537"), Err(HttpError::TooLarge));
    assert_eq!(post("Content-Length: 99999999999999999999999"), Err(HttpError::TooLarge));
    assert_eq!(post(&format!("X: {}", "a".repeat(9000))), Err(HttpError::HeadTooLarge));
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    let chunked = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{0}{0}{0}", chunk);
    assert_eq!(read(&chunked), Err(HttpError::TooLarge));
}

#[test]
fn no_parser_panics_on_random_input() {
    check(2, |(bytes, cut): (Vec<u8>, usize)| {
        // A valid start takes the parser past its first checks before it meets the random bytes.
        let apdu = Element::constructed(bcder::Tag::ctx(22), vec![]).encode();
        for start in
            [&b""[..], b"\0\0\0\x20Y", &REQUESTS[..cut % REQUESTS.len()], &apdu, b"<searchRetrieveResponse>"]
        {
            let all = [start, &bytes].concat();
            let _ = read_http(MessageKind::Request, &all, &[7]);
            let _ = read_http(MessageKind::Response, &all, &[3]);
            let _ = (frame::read(&all), ber::size(&all), Apdu::decode(&all), Record::from_iso2709(&all));
            let _ = sru::read_response(&all);
            let text = String::from_utf8_lossy(&all);
            let _ = (cql::parse(&text), Record::from_marcxml(&text));
            let _ = sru::read(&sru::parameters(&text, &text));
        }
    });
}

#[test]
fn a_frame_holds_one_well_formed_answer_and_an_invalid_load_report_is_ignored() {
    let frame = |body: &[u8]| [&(body.len() as u32).to_be_bytes()[..], body].concat();
    for report in ["busy=-3", "util=lots", "util=1e99", "\u{7f}", "a b c", ""] {
        let bytes = frame(format!("Yq.3 OK 17 {report}\nvalue").as_bytes());
        let answer =
            frame::FromServer::Answer { id: "q.3", end: frame::End::Ok, utilization: None, value: "value" };
        assert_eq!(frame::read(&bytes), Ok(Some((bytes.len(), answer))), "{report}");
    }
    assert!(frame::read(&frame(b"Yq.3 OK 17 \xff\xfe\nvalue")).is_ok());
    // A value with the start of the next frame in it, and a line without an end, whole and partly received.
    assert!(frame::read(&frame(b"Yq.3 OK 17 -\nvalue\0\0\0")).is_err());
    let endless = frame(&[b"Y".to_vec(), vec![b'x'; 2000]].concat());
    assert!(frame::read(&endless).is_err() && frame::read(&endless[..1100]).is_err());
    for (data, may) in [(&b""[..], true), (b"\0\0", true), (b"\0\0\0\x09Y", true), (b"ab", false)] {
        assert_eq!(frame::may_start(data), may, "{data:?}");
    }
    assert!(!frame::may_start(b"\0\0\0\x09R") && !frame::may_start(b"\0\0\0\0Y"));
}

#[test]
fn frames_are_read_only_when_complete_and_valid() {
    let value = "5be2a07c";
    let body = format!("Yq.3 OK 12 queue=2,util=0.61\n{value}");
    let frame = [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat();
    for cut in 0..frame.len() {
        assert_eq!(frame::read(&frame[..cut]), Ok(None));
    }
    let answer = frame::FromServer::Answer { id: "q.3", end: frame::End::Ok, utilization: Some(0.61), value };
    assert_eq!(frame::read(&frame), Ok(Some((frame.len(), answer))));
    for bad in [&b"\0\0\0\0"[..], b"\xff\0\0\0", b"\0\0\0\x05R", b"\0\0\0\x05Yabcd", b"\0\0\0\x08Ya B C -"] {
        assert!(frame::read(bad).is_err(), "{bad:?}");
    }
}

#[test]
fn calls_are_written_as_the_protocol_shows() {
    let line = frame::PartLine { id: "9b.3", shard: 3, wait_ms: 240, text: "c41e77d0" };
    assert_eq!(frame::call(&[line]), b"\0\0\0\x18R9b.3 3 d=240 8\nc41e77d0");
    assert_eq!(frame::cancel("9b.3"), b"\0\0\0\x05A9b.3");
}

/// A random search.
#[derive(Clone, Debug)]
struct RandomSearch(Search);

impl Arbitrary for RandomSearch {
    fn arbitrary(g: &mut Gen) -> RandomSearch {
        fn search(g: &mut Gen, depth: usize) -> Search {
            if depth > 0 && bool::arbitrary(g) {
                let op = *g.choose(&[Operator::And, Operator::Or, Operator::AndNot]).unwrap();
                return Search::join(op, search(g, depth - 1), search(g, depth - 1));
            }
            let letters: Vec<char> = "ab cé\"\\*?^&<".chars().collect();
            let term: String = (0..4).map(|_| *g.choose(&letters).unwrap()).collect();
            let mut c = Clause::new(*g.choose(&[4, 21, 1003, 1016, 5030]).unwrap(), format!("x{term}y"));
            c.relation = *g.choose(&[Relation::Equal, Relation::Less, Relation::NotEqual]).unwrap();
            c.truncation = *g.choose(&[Truncation::None, Truncation::Right, Truncation::Both]).unwrap();
            c.first_in_field = bool::arbitrary(g);
            c.complete_field = bool::arbitrary(g) && c.relation == Relation::Equal;
            if c.relation == Relation::Equal && bool::arbitrary(g) {
                c.structure = Structure::WordList;
            }
            if c.complete_field {
                (c.first_in_field, c.structure) = (true, Structure::Phrase);
            }
            Search::Clause(c)
        }
        RandomSearch(search(g, 5))
    }
}

#[test]
fn searches_round_trip_through_cql_and_rpn() {
    check(3, |random: RandomSearch| {
        let text = cql::write(&random.0).unwrap();
        assert_eq!(cql::parse(&text).as_ref(), Ok(&random.0), "{text}");
        assert_eq!(rpn::read(&rpn::write(&random.0), &|_| None).as_ref(), Ok(&random.0));
    });
}

#[test]
fn cql_examples_and_errors_match_the_standard() {
    let written = |text: &str| cql::parse(text).and_then(|s| cql::write(&s)).unwrap();
    assert_eq!(written("fish"), "cql.serverchoice = \"fish\"");
    assert_eq!(written("title any \"raga tala\""), "(dc.title = \"raga\") or (dc.title = \"tala\")");
    assert_eq!(
        written("dc.title exact \"raga tala\" and (a or b*)"),
        "(dc.title exact \"raga tala\") and ((cql.serverchoice = \"a\") or (cql.serverchoice = \"b*\"))"
    );
    assert_eq!(written("> d = \"info:srw/cql-context-set/1/dc-v1.1\" d.title = x"), "dc.title = \"x\"");
    let trouble = |text: &str| cql::parse(text).unwrap_err().sru();
    let deep = "(".repeat(5000);
    let long = vec!["a"; 200].join(" and ");
    let cases = [
        ("", 10),
        ("a and", 10),
        ("(a", 10),
        ("a b", 10),
        ("\"a", 10),
        (&deep, 10),
        ("xx.title = a", 15),
        ("dc.nothing = a", 16),
        ("title near a", 19),
        ("title =/stem a", 20),
        ("title = \"\"", 27),
        ("a*b", 28),
        ("a prox b", 39),
        ("a and/rel b", 46),
        ("a sortBy title", 80),
        (&long, 38),
        ("a^b", 31),
    ];
    for (text, number) in cases {
        assert_eq!(trouble(text), number, "{}", &text[..text.len().min(20)]);
    }
}

fn record() -> Record {
    let mut r = Record::new("00000ccm a2200000 a 4500");
    r.fields.push(Field::Control { tag: "001".into(), value: "k-17".into() });
    let subfields = vec![('a', "Vātāpi <gaṇapatim> & co".into()), ('c', String::new())];
    r.fields.push(Field::Data { tag: "245".into(), indicators: ['1', ' '], subfields });
    r
}

#[test]
fn marc_records_round_trip_and_truncated_ones_are_rejected() {
    let r = record();
    let bytes = r.to_iso2709().unwrap();
    assert_eq!(Record::from_iso2709(&bytes).as_ref(), Ok(&r));
    assert_eq!(Record::from_marcxml(&r.to_marcxml()).as_ref(), Ok(&r));
    for cut in 0..bytes.len() {
        assert!(Record::from_iso2709(&bytes[..cut]).is_err());
    }
    let mut other = bytes.clone();
    other[9] = b' ';
    assert!(Record::from_iso2709(&other).is_err(), "MARC-8 outside ASCII must not be read as UTF-8");
    check(4, move |places: Vec<(usize, u8)>| {
        let mut broken = bytes.clone();
        for (at, byte) in places {
            let n = broken.len();
            broken[at % n] = byte;
        }
        let _ = Record::from_iso2709(&broken).map(|r| (r.to_iso2709(), r.to_marcxml()));
    });
}

#[test]
fn apdus_round_trip_and_their_size_is_known_only_when_complete() {
    let d = || Diagnostic::new(Condition::UnsupportedIndex, "99");
    let reference = Some(vec![1, 2]);
    let search = Search::Clause(Clause::new(4, "raga"));
    let found =
        vec![Retrieved::Record { syntax: USMARC.into(), bytes: vec![7; 300] }, Retrieved::Diagnostic(d())];
    let init = InitRequest {
        reference: reference.clone(),
        versions: VERSIONS.into(),
        options: OPTIONS.into(),
        preferred_size: 65536,
        largest_record: 65536,
    };
    let all = vec![
        Apdu::InitRequest(init),
        Apdu::InitResponse(InitResponse {
            reference: None,
            versions: VERSIONS.into(),
            options: OPTIONS.into(),
            preferred_size: 1,
            largest_record: -129,
            accepted: true,
        }),
        Apdu::SearchRequest(SearchRequest {
            reference: reference.clone(),
            small_upper: 0,
            large_lower: 1,
            medium_number: 0,
            replace: true,
            result_set: "default".into(),
            databases: vec!["scores".into()],
            element_set: Some("F".into()),
            syntax: Some(USMARC.into()),
            query: Query::Rpn(rpn::write(&search)),
        }),
        Apdu::SearchResponse(SearchResponse {
            reference: None,
            count: 1 << 40,
            next: 1,
            success: false,
            set_status: Some(1),
            present_status: Some(5),
            records: Records::Diagnostic(d()),
        }),
        Apdu::PresentRequest(PresentRequest {
            reference: None,
            result_set: "1".into(),
            start: 1,
            number: 10,
            element_set: None,
            syntax: Some(XML.into()),
            complex: false,
        }),
        Apdu::PresentResponse(PresentResponse {
            reference,
            next: 2,
            status: 0,
            records: Records::Some(found),
        }),
        Apdu::DeleteRequest { reference: None, sets: Some(vec!["a".into()]) },
        Apdu::DeleteResponse { reference: None, status: 1 },
        Apdu::Close { reference: None, reason: 1, diagnostic_information: "draining".into() },
    ];
    for apdu in all {
        let bytes = apdu.encode();
        assert_eq!(Apdu::decode(&bytes).as_ref(), Ok(&apdu));
        assert_eq!(ber::size(&[&bytes[..], b"more"].concat()), Ok(Some(bytes.len())));
        for cut in 0..bytes.len() {
            assert_eq!(ber::size(&bytes[..cut]), Ok(None));
        }
    }
}

#[test]
fn diagnostic_texts_are_encoded_for_each_protocol_version() {
    let d = Diagnostic::new(Condition::UnsupportedIndex, "9\u{e9}");
    let records = Records::Diagnostic(d);
    let apdu = Apdu::PresentResponse(PresentResponse { reference: None, next: 0, status: 5, records });
    let has = |bytes: Vec<u8>, words: &[u8]| bytes.windows(words.len()).any(|w| w == words);
    // Tag 27 is a GeneralString, 26 a VisibleString.
    assert!(has(apdu.encode(), &[27, 3, b'9', 0xc3, 0xa9]));
    assert!(has(apdu.encode_v2(), &[26, 3, b'9', b'?', b'?']));
}

#[test]
fn ber_takes_indefinite_lengths_and_bounds_depth() {
    let bytes = [0xa1, 0x80, 0x24, 0x80, 4, 1, b'a', 4, 1, b'b', 0, 0, 0, 0];
    assert_eq!(ber::size(&bytes), Ok(Some(bytes.len())));
    let read = Element::decode(&bytes).unwrap();
    assert_eq!(read.values()[0].as_bytes(), b"ab");
    assert!(ber::size(&[0x30, 0x80].repeat(30_000)).is_err());
    let nested = (0..200).fold(vec![5, 0], |inner: Vec<u8>, _| {
        let n = inner.len();
        let length = if n < 128 { vec![n as u8] } else { vec![0x82, (n >> 8) as u8, n as u8] };
        [vec![0x30], length, inner].concat()
    });
    assert!(Element::decode(&nested).is_err());
    assert!(ber::size(&[0x30, 0x84, 0x7f, 0, 0, 0]).is_err(), "a length above the limit");
    for (dotted, bytes) in
        [(USMARC, &[6, 7, 0x2a, 0x86, 0x48, 0xce, 0x13, 5, 10][..]), ("2.999.3", &[6, 3, 0x88, 0x37, 3])]
    {
        let e = Element::oid(bcder::Tag::OID, dotted);
        assert_eq!((e.encode().as_slice(), e.as_oid().as_deref()), (bytes, Some(dotted)));
    }
}

#[test]
fn sru_responses_round_trip_in_both_record_packings() {
    use sru::{Item, RecordPacking, Response};
    let d = Diagnostic::new(Condition::PartialResult, "2 of 3 <parts>");
    let items =
        vec![Item::Record(record()), Item::Diagnostic(Diagnostic::new(Condition::RecordUnavailable, "x"))];
    let r = Response { total: 12, items, next: Some(3), diagnostics: vec![d] };
    for packing in [RecordPacking::Xml, RecordPacking::String] {
        let bytes = sru::write(&r, "1.1", packing, 1);
        assert_eq!(sru::read_response(&bytes).as_ref(), Ok(&r));
        for cut in 0..bytes.len() {
            assert_ne!(sru::read_response(&bytes[..cut]).as_ref(), Ok(&r));
        }
    }
}

#[test]
fn invalid_sru_requests_get_the_standard_diagnostic_numbers() {
    let number = |target: &str| sru::read(&sru::parameters(target, "")).map_err(|(d, _)| d.sru());
    let base = "/scores?version=1.1&operation=searchRetrieve";
    for (more, expected) in [
        ("", 7),
        ("&query=a&startRecord=0", 6),
        ("&query=a&recordSchema=dc", 66),
        ("&query=a&recordPacking=zip", 71),
        ("&query=a&sortKeys=title", 80),
        ("&query=a&nonsense=1", 8),
    ] {
        assert_eq!(number(&format!("{base}{more}")), Err(expected), "{more}");
    }
    assert_eq!(number("/scores?version=2.7&operation=explain"), Err(5));
    assert_eq!(number("/scores?version=1.1&operation=scan"), Err(4));
    assert_eq!(number("/scores?operation=explain"), Err(7));
    let Ok(sru::Request::Search(s)) = number(&format!("{base}&query=dc.title%3D%22a+b%22&x-note=1")) else {
        panic!()
    };
    assert_eq!((s.query.as_str(), s.start, s.maximum), ("dc.title=\"a b\"", 1, None));
}
