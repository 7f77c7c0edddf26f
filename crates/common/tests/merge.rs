//! Settings that take others' place: numbers stay with what they meant, by meaning and not by position.

use std::collections::BTreeMap;

use violetwind_balancer::api::{Budget, Idempotency, Settings};
use violetwind_common::{MAX_INDICES, NameTable, NamedValues, merge_settings, read_settings};

struct Told(BTreeMap<String, String>);

impl NamedValues for Told {
    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }
}

/// Settings with these classes (name, effect), tenants (name, quota) and zones, as seen from the last zone.
fn told(classes: &[(&str, &str)], tenants: &[(&str, &str)], zones: &str) -> (Settings, NameTable) {
    let mut facts = BTreeMap::new();
    let mut put = |key: String, value: &str| drop(facts.insert(key, value.to_string()));
    put("request-classes.count".into(), &classes.len().to_string());
    for (at, (name, effect)) in classes.iter().enumerate() {
        put(format!("request-classes.{at}.name"), name);
        put(format!("request-classes.{at}.idempotency"), effect);
    }
    put("orgs.count".into(), &tenants.len().to_string());
    for (at, (name, _)) in tenants.iter().enumerate() {
        put(format!("orgs.{at}.name"), name);
    }
    let quotas: Vec<&str> = tenants.iter().map(|(_, quota)| *quota).collect();
    put(
        "family-info.tenant-quota-connections".into(),
        &quotas.join(","),
    );
    put("azs".into(), zones);
    put("zone".into(), zones.rsplit(',').next().unwrap());
    read_settings(&Told(facts)).unwrap()
}

#[test]
fn classes_keep_their_numbers_by_meaning() {
    let (old, names) = told(&[("watch", "pure"), ("book", "pure")], &[], "a");
    // Another order, one stricter, one new.
    let new = told(
        &[("new", "token"), ("book", "side_effect"), ("watch", "pure")],
        &[],
        "a",
    );
    let (now, now_names, numbers) = merge_settings((&old, &names), new).unwrap();
    assert_eq!(numbers, [2, 3, 0]);
    assert_eq!(now_names.class_index("watch"), Some(0));
    assert_eq!(now_names.class_index("book"), Some(3));
    assert_eq!(now.classes[1].effect, Idempotency::Safe);
    assert_eq!(now.classes[3].effect, Idempotency::Unsafe);
    // One vanishes; what comes back as it was gets its old number.
    let new = told(&[("book", "pure"), ("new", "token")], &[], "a");
    let (last, last_names, numbers) = merge_settings((&now, &now_names), new).unwrap();
    assert_eq!(numbers, [1, 2]);
    assert_eq!(last_names.class_index("watch"), None);
    assert_eq!(last_names.class_index("book"), Some(1));
    assert_eq!(last.classes.len(), 4);
}

#[test]
fn tenants_and_zones_keep_their_numbers_by_name() {
    let (old, names) = told(&[], &[("t1", "5"), ("t2", "6")], "a,b");
    let new = told(&[], &[("t3", "7"), ("t2", "8")], "c,b,a");
    let (now, names, _) = merge_settings((&old, &names), new).unwrap();
    assert_eq!(names.tenant_index(Some("t1")), None);
    assert_eq!(names.tenant_index(Some("t2")), Some(1));
    assert_eq!(names.tenant_index(Some("t3")), Some(2));
    assert_eq!(now.tenants[1].quota, Some(8.0));
    assert_eq!(now.zone, Some(0));
    assert_eq!(now.zones, 3);
}

/// A file that changes its classes without end would fill the books.
#[test]
fn numbers_are_bounded() {
    let (mut now, mut names) = told(&[("c", "pure")], &[], "a");
    for at in 1.. {
        let name = format!("c{at}");
        match merge_settings((&now, &names), told(&[(&name, "pure")], &[], "a")) {
            Ok((next, next_names, _)) => (now, names) = (next, next_names),
            Err(error) => {
                assert!(error.contains("request-classes"), "{error}");
                assert_eq!(at, MAX_INDICES);
                return;
            }
        }
    }
}

fn budget(given: &[(&str, &str)]) -> Result<Option<Budget>, String> {
    let facts = given
        .iter()
        .map(|(key, value)| (format!("rules.{key}"), value.to_string()));
    read_settings(&Told(facts.collect())).map(|(settings, _)| settings.budget)
}

/// A missing key is no budget; a figure that is none must not pass for one.
#[test]
fn a_budget_is_read_whole_or_told_by_its_key() {
    let all = [
        ("budget-free", "1"),
        ("further-ratio", "0.15"),
        ("resend-span-s", "5"),
    ];
    let (free, ratio, span) = (1.0, 0.15, 5.0);
    assert_eq!(budget(&all), Ok(Some(Budget { free, ratio, span })));
    assert_eq!(budget(&[]), Ok(None));
    assert_eq!(budget(&all[1..]), Ok(None));
    for (at, (key, _)) in all.iter().enumerate() {
        for bad in ["-1", "many", "inf", "NaN", ""] {
            let mut given = all;
            given[at].1 = bad;
            assert!(budget(&given).unwrap_err().contains(key), "{key}={bad}");
        }
    }
}
