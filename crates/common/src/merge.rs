//! Replacement of settings while connections continue: classes, tenants, zones and kinds keep their indices.
//!
//! A class is identified by its name and all of its values, so a connection keeps the class under which it was
//! accepted, even if the name is defined differently now. Indices are never reused, as a request may be
//! under way with one; a class that is added again with the same values gets its old index.

use violetwind_balancer::api::{Settings, Tenant};

use crate::settings::{IndexedName, NameTable};

/// Most indices that all settings since the start may use, for classes, tenants, zones and kinds each.
pub const MAX_INDICES: usize = 1024;

/// Merges `new` settings into the indices of `old` ones. Returns the merged settings and names, and the index of each
/// of the new classes.
///
/// # Errors
/// More than [`MAX_INDICES`] classes, tenants, zones or kinds since the start.
pub fn merge_settings(
    (old, old_names): (&Settings, &NameTable),
    (mut new, new_names): (Settings, NameTable),
) -> Result<(Settings, NameTable, Vec<usize>), String> {
    let mut names = old_names.clone();
    names.rating_is_size = new_names.rating_is_size;
    for entry in names.classes.iter_mut().chain(&mut names.tenants) {
        entry.in_use = false;
    }
    let mut classes = old.classes.clone();
    let mut class_indices = Vec::with_capacity(new.classes.len());
    for (class, name) in new.classes.iter().zip(&new_names.classes) {
        let is_same =
            |index: &usize| classes[*index] == *class && names.classes[*index].name == name.name;
        let index = (0..classes.len()).find(is_same).unwrap_or_else(|| {
            classes.push(class.clone());
            names.classes.push(name.clone());
            classes.len() - 1
        });
        names.classes[index].in_use = true;
        class_indices.push(index);
    }
    let mut tenants: Vec<Tenant> = old.tenants.clone();
    for (tenant, name) in new.tenants.iter().zip(&new_names.tenants) {
        match names
            .tenants
            .iter()
            .position(|existing| existing.name == name.name)
        {
            Some(index) => (tenants[index], names.tenants[index].in_use) = (tenant.clone(), true),
            None => {
                tenants.push(tenant.clone());
                names.tenants.push(IndexedName::new(&name.name));
            }
        }
    }
    let zone = new.zone.map(|zone| new_names.zones[zone].as_str());
    for (names, added_names) in [
        (&mut names.zones, &new_names.zones),
        (&mut names.kinds, &new_names.kinds),
    ] {
        for name in added_names {
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
    }
    new.zone = zone.and_then(|zone| names.zones.iter().position(|existing| existing == zone));
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
    Ok((new, names, class_indices))
}
