//! Links that several transfers share.

use hollymux_simulation::shared_link::SharedLink;

#[test]
fn transfers_share_a_link_and_none_exceeds_its_maximum_rate() {
    // The link carries 3000 bytes per second, and 2000 of one transfer. A transfer of 2000 bytes
    // takes 1 s alone; two transfers at a time get 1500 bytes per second each.
    let mut link = SharedLink::new(3_000.0, 2_000.0);
    link.start(0, 1, 2_000.0);
    assert_eq!(link.due(), Some(1_000_000));
    link.start(500_000, 2, 1_500.0);
    // The first transfer has 1000 bytes left, at 1500 bytes per second.
    let first = link.due().unwrap();
    assert!((1_166_000..1_168_000).contains(&first), "{first}");
    assert_eq!((link.pop_finished(first + 1), link.pop_finished(first + 1)), (Some(1), None));
    let second = link.due().unwrap();
    assert!((1_416_000..1_418_000).contains(&second), "{second}");
    link.cancel(second - 100, 2);
    assert_eq!(link.due(), None);
    assert!((3_490.0..3_501.0).contains(&link.carried()), "{}", link.carried());
}
