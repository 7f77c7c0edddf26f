//! Settings that take others' place while connections go on: what has a number keeps it.
//!
//! A class is told from another by its name and all that holds for it, so a connection goes on under the
//! class it was taken with, whatever the name means now. Numbers are never given anew, as a request may be
//! on its way with one; a class that comes back as it was gets its old one.

use violetwind_balancer::api::{Settings, Tenant};

use crate::settings::{IndexedName, NameTable};

/// Numbers that all settings since the start may use up, for classes, tenants, zones and kinds each.
pub const MAX_INDICES: usize = 1024;

/// `new` with the numbers of `old`, and the number of each of the new classes.
pub fn merge_settings(
    (old, old_names): (&Settings, &NameTable),
    (mut new, new_names): (Settings, NameTable),
) -> Result<(Settings, NameTable, Vec<usize>), String> {
    let mut names = old_names.clone();
    names.rating_is_size = new_names.rating_is_size;
    for known in names.classes.iter_mut().chain(&mut names.tenants) {
        known.in_use = false;
    }
    let mut classes = old.classes.clone();
    let mut numbers = Vec::with_capacity(new.classes.len());
    for (class, name) in new.classes.iter().zip(&new_names.classes) {
        let same = |at: &usize| classes[*at] == *class && names.classes[*at].name == name.name;
        let at = (0..classes.len()).find(same).unwrap_or_else(|| {
            classes.push(class.clone());
            names.classes.push(name.clone());
            classes.len() - 1
        });
        names.classes[at].in_use = true;
        numbers.push(at);
    }
    let mut tenants: Vec<Tenant> = old.tenants.clone();
    for (tenant, name) in new.tenants.iter().zip(&new_names.tenants) {
        match names
            .tenants
            .iter()
            .position(|known| known.name == name.name)
        {
            Some(at) => (tenants[at], names.tenants[at].in_use) = (tenant.clone(), true),
            None => {
                tenants.push(tenant.clone());
                names.tenants.push(IndexedName::new(&name.name));
            }
        }
    }
    let zone = new.zone.map(|zone| new_names.zones[zone].as_str());
    for (names, more) in [
        (&mut names.zones, &new_names.zones),
        (&mut names.kinds, &new_names.kinds),
    ] {
        for name in more {
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
    }
    new.zone = zone.and_then(|zone| names.zones.iter().position(|known| known == zone));
    let counts = [
        ("request-classes", classes.len()),
        ("orgs", tenants.len()),
        ("azs", names.zones.len()),
        ("skus", names.kinds.len()),
    ];
    if let Some((key, _)) = counts.iter().find(|(_, count)| *count > MAX_INDICES) {
        return Err(format!(
            "settings.{key}: more than {MAX_INDICES} since the start: this needs a restart"
        ));
    }
    (new.classes, new.tenants) = (classes, tenants);
    Ok((new, names, numbers))
}
