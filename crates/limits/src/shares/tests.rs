use super::*;

#[test]
fn owners_and_machines_fit_beside_each_other_into_few_descriptors() {
    for descriptors in [48, 64, 256, 784, 1_024] {
        let connections = connections_to_machines(descriptors);
        assert_eq!(connections + descriptors / PROMISED_PART + own(descriptors), descriptors);
        let doorway = Doorway::new(descriptors);
        // A poll, a listener, the list, three files, signals: nine.
        assert!(9 + doorway.taken_a_turn + doorway.turned_away <= own(descriptors), "{descriptors}");
    }
}
