//! The links with faults between processes under test.

use pebbleturn_lab::cluster::links::{Fault, Links};
use std::net::UdpSocket;
use std::time::Duration;

/// Longer than a datagram takes over a link without faults.
const ARRIVAL_TIME: Duration = Duration::from_millis(12);

/// A split takes effect before the call returns: a datagram that is sent right after it does not arrive.
#[test]
fn datagram_sent_right_after_a_split_does_not_arrive() {
    let ends = [0, 1].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    let addresses = ends.each_ref().map(|end| end.local_addr().unwrap());
    let links = Links::between(&addresses, 1);
    ends[1].set_read_timeout(Some(ARRIVAL_TIME)).unwrap();
    let mut buffer = [0; 16];
    let mut arrived_before_split = 0;
    for round in 0..100 {
        links.set_all(Fault::default());
        ends[0].send_to(b"whole", links.address(0, 1)).unwrap();
        arrived_before_split += usize::from(ends[1].recv_from(&mut buffer).is_ok());
        links.split(&[0]);
        ends[0].send_to(b"cut", links.address(0, 1)).unwrap();
        // A datagram from before the split may still arrive, on a busy machine.
        while let Ok((n, _)) = ends[1].recv_from(&mut buffer) {
            assert_ne!(&buffer[..n], b"cut", "round {round}");
        }
    }
    assert!(arrived_before_split > 0, "the link carried nothing");
}
