use mulleinhub_protocol::*;
#[test]
fn probe() {
    let shape = Shape { key: 7, use_case: 1, service: 300, cores: 0.5, memory: 2.0, again: false };
    for m in [
        Message::Taken { task: 5 },
        Message::Placed { task: 5, machine: 300 },
        Message::Bye { words: "ab" },
        Message::Watch {},
        Message::Ask { task: 9, shape, patience: 1000, clock: 5 },
        Message::Note { task: 1, cores: Some(0.5), memory: None, served: None, machine_memory: None },
        Message::Hello {
            conversation: Conversation::PlannerMachine,
            version: 1,
            least_version: 1,
            features: 0,
            name: "p",
            life: 3,
            clock: 4,
        },
        Message::Closed { task: 1, send: 0, ending: Ending::Nacked, reason: Reason::NoMemory },
        Message::Holds {
            tasks: vec![Held { task: 1, send: 2, shape, owner: "o", ended: None, runs: true }],
            last: true,
        },
        Message::List {
            kind: ListKind::Changes,
            version: 2,
            entries: vec![Entry {
                machine: 1,
                address: "a",
                kind: 0,
                cell: 1,
                zone: 0,
                mode: Mode::Leaving,
                life: 2,
                up_for: None,
                cores_left: Some(1.0),
                memory_left: Some(2.0),
            }],
        },
    ] {
        let mut b = Vec::new();
        encode(&m, &mut b);
        println!("{:?} {}", m, b.iter().map(|x| format!("{x:02x}")).collect::<String>());
    }
}
