//! How directives merge: to the same result in any order.

use mulleinhub_replicated_log::{Directive, DirectiveAction, Directives, Subject};
use proptest::prelude::*;

fn any_action() -> impl Strategy<Value = DirectiveAction> {
    prop_oneof![
        Just(DirectiveAction::Reinstate {}),
        prop::option::of(0u64..4).prop_map(|finish_by| DirectiveAction::Suspend { finish_by }),
    ]
}

fn any_directives() -> impl Strategy<Value = Vec<Directive>> {
    let directive = (0usize..2, 0u64..4, any_action()).prop_map(|(who, number, action)| Directive {
        subject: Subject::Account(["one", "two"][who].into()),
        number,
        action,
    });
    prop::collection::vec(directive, 0..12)
}

fn applied(directives: &[Directive]) -> Directives {
    let mut all = Directives::default();
    for directive in directives {
        all.apply(&directive.subject, directive.effective());
    }
    all
}

fn joined(one: &Directives, other: &Directives) -> Directives {
    let mut all = one.clone();
    for (subject, effective) in other.iter() {
        all.apply(subject, *effective);
    }
    all
}

proptest! {
    #[test]
    fn merging_directives_is_order_independent(
        one in any_directives(), two in any_directives(), three in any_directives(), shuffle in any::<u64>(),
    ) {
        let [a, b, c] = [&one, &two, &three].map(|directives| applied(directives));
        prop_assert_eq!(joined(&a, &b), joined(&b, &a));
        prop_assert_eq!(joined(&joined(&a, &b), &c), joined(&a, &joined(&b, &c)));
        prop_assert_eq!(&joined(&a, &a), &a);
        let mut all: Vec<Directive> = [one, two, three].concat();
        let in_order = applied(&all);
        prop_assert_eq!(&in_order, &joined(&joined(&a, &b), &c));
        all.sort_by_key(|directive| (directive.number ^ shuffle).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        prop_assert_eq!(applied(&all), in_order);
    }

    /// Without the join: the highest number holds; of its actions the strictest; they conflict if they
    /// differ.
    #[test]
    fn highest_number_and_strictest_action_hold(all in any_directives()) {
        for (subject, effective) in applied(&all).iter() {
            let about: Vec<&Directive> =
                all.iter().filter(|directive| directive.subject == *subject).collect();
            let highest = about.iter().map(|directive| directive.number).max().expect("it was applied");
            let with_highest = about.iter().filter(|directive| directive.number == highest);
            let actions: Vec<DirectiveAction> = with_highest.map(|directive| directive.action).collect();
            prop_assert_eq!(effective.number, highest);
            prop_assert_eq!(effective.conflicting, actions.iter().any(|action| *action != actions[0]));
            let suspensions: Vec<u64> = actions.iter().filter_map(|action| match action {
                DirectiveAction::Suspend { finish_by } => Some(finish_by.unwrap_or(u64::MAX)),
                _ => None,
            }).collect();
            let strictest = match suspensions.iter().min() {
                Some(by) => DirectiveAction::Suspend { finish_by: (*by < u64::MAX).then_some(*by) },
                None => DirectiveAction::Reinstate {},
            };
            prop_assert_eq!(effective.action, strictest);
        }
    }
}

#[test]
fn lower_cap_holds_between_equal_numbers() {
    let directive = |number, amount| Directive {
        subject: Subject::Team("payments".into()),
        number,
        action: DirectiveAction::Cap { amount },
    };
    let mut all = applied(&[directive(3, 500), directive(3, 400)]);
    let effective = all.get(&directive(0, 0).subject).expect("it was applied");
    assert_eq!((effective.action, effective.conflicting), (DirectiveAction::Cap { amount: 400 }, true));
    assert!(!all.apply(&directive(0, 0).subject, directive(2, 1).effective()));
    assert!(all.apply(&directive(0, 0).subject, directive(4, 900).effective()));
    let effective = all.get(&directive(0, 0).subject).expect("it was applied");
    assert_eq!((effective.action, effective.conflicting), (DirectiveAction::Cap { amount: 900 }, false));
}
