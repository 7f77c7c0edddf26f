//! Replacement of settings: indices stay with the same classes, tenants and zones, regardless of their position.

use std::collections::BTreeMap;

use violetwind_balancer::api::{Budget, Idempotency, Settings};
use violetwind_common::{MAX_INDICES, NameTable, NamedValues, merge_settings, read_settings};

struct TestValues(BTreeMap<String, String>);

impl NamedValues for TestValues {
    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }
}

/// Settings with these classes (name, idempotency), tenants (name, quota) and zones. The balancer is in the last zone.
fn parse_settings(
    classes: &[(&str, &str)],
    tenants: &[(&str, &str)],
    zones: &str,
) -> (Settings, NameTable) {
    let mut values = BTreeMap::new();
    let mut insert = |key: String, value: &str| drop(values.insert(key, value.to_string()));
    insert("request-classes.count".into(), &classes.len().to_string());
    for (index, (name, idempotency)) in classes.iter().enumerate() {
        insert(format!("request-classes.{index}.name"), name);
        insert(format!("request-classes.{index}.idempotency"), idempotency);
    }
    insert("orgs.count".into(), &tenants.len().to_string());
    for (index, (name, _)) in tenants.iter().enumerate() {
        insert(format!("orgs.{index}.name"), name);
    }
    let quotas: Vec<&str> = tenants.iter().map(|(_, quota)| *quota).collect();
    insert(
        "family-info.tenant-quota-connections".into(),
        &quotas.join(","),
    );
    insert("azs".into(), zones);
    insert("zone".into(), zones.rsplit(',').next().unwrap());
    read_settings(&TestValues(values)).unwrap()
}

#[test]
fn classes_keep_their_indices_if_their_values_are_the_same() {
    let (old, names) = parse_settings(&[("watch", "pure"), ("book", "pure")], &[], "a");
    // Another order, one class with stricter idempotency, one new class.
    let new = parse_settings(
        &[("new", "token"), ("book", "side_effect"), ("watch", "pure")],
        &[],
        "a",
    );
    let (merged, merged_names, indices) = merge_settings((&old, &names), new).unwrap();
    assert_eq!(indices, [2, 3, 0]);
    assert_eq!(merged_names.class_index("watch"), Some(0));
    assert_eq!(merged_names.class_index("book"), Some(3));
    assert_eq!(merged.classes[1].idempotency, Idempotency::Safe);
    assert_eq!(merged.classes[3].idempotency, Idempotency::Unsafe);
    // One class is removed; a class that is added again with the same values gets its old index.
    let new = parse_settings(&[("book", "pure"), ("new", "token")], &[], "a");
    let (last, last_names, indices) = merge_settings((&merged, &merged_names), new).unwrap();
    assert_eq!(indices, [1, 2]);
    assert_eq!(last_names.class_index("watch"), None);
    assert_eq!(last_names.class_index("book"), Some(1));
    assert_eq!(last.classes.len(), 4);
}

#[test]
fn tenants_and_zones_keep_their_indices_by_name() {
    let (old, names) = parse_settings(&[], &[("t1", "5"), ("t2", "6")], "a,b");
    let new = parse_settings(&[], &[("t3", "7"), ("t2", "8")], "c,b,a");
    let (merged, names, _) = merge_settings((&old, &names), new).unwrap();
    assert_eq!(names.tenant_index(Some("t1")), None);
    assert_eq!(names.tenant_index(Some("t2")), Some(1));
    assert_eq!(names.tenant_index(Some("t3")), Some(2));
    assert_eq!(merged.tenants[1].quota, Some(8.0));
    assert_eq!(merged.zone, Some(0));
    assert_eq!(merged.zones, 3);
}

/// A settings file whose classes change again and again would otherwise use ever more memory.
#[test]
fn the_number_of_indices_is_limited() {
    let (mut merged, mut names) = parse_settings(&[("c", "pure")], &[], "a");
    for count in 1.. {
        let name = format!("c{count}");
        match merge_settings(
            (&merged, &names),
            parse_settings(&[(&name, "pure")], &[], "a"),
        ) {
            Ok((next, next_names, _)) => (merged, names) = (next, next_names),
            Err(error) => {
                assert!(error.contains("request-classes"), "{error}");
                assert_eq!(count, MAX_INDICES);
                return;
            }
        }
    }
}

fn read_budget(entries: &[(&str, &str)]) -> Result<Option<Budget>, String> {
    let values = entries
        .iter()
        .map(|(key, value)| (format!("rules.{key}"), value.to_string()));
    read_settings(&TestValues(values.collect())).map(|(settings, _)| settings.retry_budget)
}

/// A missing key means no budget; an invalid value must be an error.
#[test]
fn a_budget_needs_all_of_its_keys_and_invalid_values_are_reported_by_key() {
    let all = [
        ("budget-free", "1"),
        ("further-ratio", "0.15"),
        ("resend-span-s", "5"),
    ];
    let (free, ratio, span) = (1.0, 0.15, 5.0);
    assert_eq!(read_budget(&all), Ok(Some(Budget { free, ratio, span })));
    assert_eq!(read_budget(&[]), Ok(None));
    assert_eq!(read_budget(&all[1..]), Ok(None));
    for (index, (key, _)) in all.iter().enumerate() {
        for invalid in ["-1", "many", "inf", "NaN", ""] {
            let mut entries = all;
            entries[index].1 = invalid;
            assert!(
                read_budget(&entries).unwrap_err().contains(key),
                "{key}={invalid}"
            );
        }
    }
}
