use super::*;

#[test]
fn only_a_frame_of_which_no_byte_left_can_be_taken_back() {
    let mut links = Connections::default();
    let link = links.register();
    for mark in 1..=3 {
        links.send(link, &[mark as u8; 10], Some(mark));
    }
    links.wrote(link, 4);
    assert!(!links.retract(link, 1), "four bytes of it are gone");
    assert!(links.retract(link, 2));
    assert!(!links.retract(link, 2), "it is out already");
    assert_eq!(links.outgoing(link), [&[1; 6][..], &[3; 10]].concat());
    links.wrote(link, 6);
    assert_eq!(links.forget(link), [(3, Unsent::Whole)]);
}

#[test]
fn what_was_written_first_is_handed_over_first() {
    let mut links = Connections::default();
    let [one, two, three] = [(); 3].map(|()| links.register());
    for link in [three, one, two, three] {
        links.send(link, &[0; 4], None);
    }
    links.forget(one);
    let order: Vec<ConnectionId> = std::iter::from_fn(|| links.next_dirty()).collect();
    assert_eq!(order, [three, two]);
}

#[test]
fn a_connection_that_has_written_all_owns_no_buffer_and_a_burst_is_given_back() {
    let mut links = Connections::default();
    let all: Vec<ConnectionId> = (0..1_000).map(|_| links.register()).collect();
    for link in &all {
        links.send(*link, &[0; 1_000], None);
    }
    assert!(links.held() >= 1_000_000);
    for link in &all {
        links.wrote(*link, 1_000);
    }
    assert!(links.held() <= 64 * 16 * 1024 && links.open.values().all(|slot| slot.out.is_none()));
    links.send(all[7], &[1; 10], Some(1));
    links.wrote(all[7], 4);
    assert!(!links.retract(all[7], 1), "places begin anew with the box");
}

#[test]
fn an_end_tells_whole_from_part_and_forgets_what_was_written() {
    let mut links = Connections::default();
    let link = links.register();
    for mark in 1..=3 {
        links.send(link, &[0; 8], Some(mark));
    }
    links.wrote(link, 9);
    assert_eq!(links.forget(link), [(2, Unsent::Part), (3, Unsent::Whole)]);
    links.send(link, &[0; 8], Some(4));
    assert_eq!(links.unwritten(link), 0, "nothing is kept for a link that is over");
}
