use super::*;

#[test]
fn clients_and_machines_fit_into_few_descriptors() {
    for descriptors in [48, 64, 256, 784, 1_024] {
        let reserved = reserved_descriptors(descriptors);
        let machines = machine_connection_limit(descriptors);
        assert_eq!(machines + descriptors / CLIENTS_PART + reserved, descriptors);
        let budget = AcceptBudget::new(descriptors);
        // A poll, a listener, the endpoint list, three files, signals: nine.
        assert!(9 + budget.max_accepts + budget.max_rejections <= reserved, "{descriptors}");
    }
}
