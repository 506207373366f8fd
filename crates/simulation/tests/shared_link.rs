//! Links that transfers share.

use hollymux_simulation::shared_link::SharedLink;

#[test]
fn transfers_share_a_link_and_none_exceeds_its_maximum_rate() {
    // 3000 bytes a second, 2000 for one: alone 1 s for 2000 bytes, two together 1500 each.
    let mut link = SharedLink::new(3_000.0, 2_000.0);
    link.start(0, 1, 2_000.0);
    assert_eq!(link.due(), Some(1_000_000));
    link.start(500_000, 2, 1_500.0);
    // 1000 bytes are left of the first, at 1500 a second.
    let first = link.due().unwrap();
    assert!((1_166_000..1_168_000).contains(&first), "{first}");
    assert_eq!((link.pop_finished(first + 1), link.pop_finished(first + 1)), (Some(1), None));
    let second = link.due().unwrap();
    assert!((1_416_000..1_418_000).contains(&second), "{second}");
    link.cancel(second - 100, 2);
    assert_eq!(link.due(), None);
    assert!((3_490.0..3_501.0).contains(&link.carried()), "{}", link.carried());
}
