//! Changes of the targets of the shared policy.

use crate::shared_ledger::{entry, ledger, online};

/// Guards against changes of targets that lead to another state than all entries do, also for a target that is listed again
/// while a call of this VM runs there.
#[test]
fn changed_targets() {
    let targets = [("t1", "a"), ("t2", "a"), ("t3", "b")];
    let (mut whole, mut changed) = (ledger("vm", &targets), ledger("vm", &targets));
    assert_eq!(online(&mut whole, 0), online(&mut changed, 0));
    let mut larger = entry("t3", "b");
    larger.slots = 9;
    let steps = [
        (vec![larger.clone()], vec!["t1", "t2"]),
        (vec![entry("t2", "a"), entry("t4", "c")], vec![]),
        (vec![entry("t1", "a")], vec!["t4", "t5"]),
    ];
    let lists = [
        vec![larger.clone()],
        vec![entry("t2", "a"), larger.clone(), entry("t4", "c")],
        vec![entry("t1", "a"), entry("t2", "a"), larger],
    ];
    for ((entries, removed), list) in steps.into_iter().zip(lists) {
        let removed: Vec<_> = removed.into_iter().map(Into::into).collect();
        changed.change_targets(entries.iter(), removed.iter());
        whole.set_targets(list.iter());
        for id in ["t1", "t2", "t3", "t4"] {
            assert_eq!(
                changed.load_of(&id.into()),
                whole.load_of(&id.into()),
                "{id}"
            );
        }
    }
}
