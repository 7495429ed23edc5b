//! Tracking of the container images in the caches of machines, as inferred from the tasks that they have executed.

use super::find_machine_type;
use crate::leader::Leader;
use std::collections::BTreeMap;

/// Images on a machine, each with the time of its last use and its size in gigabytes.
type Images = BTreeMap<String, (u64, f64)>;

impl Leader {
    /// Records that an image is on a machine, and removes those that the worker will have evicted to make space for it.
    pub(super) fn record_cached_image(
        &mut self,
        machine: &str,
        image: String,
        size_gb: f64,
        now: u64,
    ) {
        let Some(machine) = self.machines.get_mut(machine) else {
            return;
        };
        machine.cached_images.insert(image, (now, size_gb));
        let machine_type = find_machine_type(&self.machine_types.desired, &machine.type_name);
        let capacity_gb = machine_type.map_or(f64::MAX, |machine_type| machine_type.image_cache_gb);
        evict_least_recently_used(&mut machine.cached_images, capacity_gb);
    }
}

/// Removes the least recently used images until the rest fits the cache. One image always stays.
fn evict_least_recently_used(images: &mut Images, capacity_gb: f64) {
    let mut total_gb: f64 = images.values().map(|(_, size_gb)| size_gb).sum();
    while total_gb > capacity_gb && images.len() > 1 {
        let oldest = images.iter().min_by_key(|(_, (used_at, _))| *used_at);
        let Some((image, size_gb)) = oldest.map(|(image, (_, size_gb))| (image.clone(), *size_gb))
        else {
            return;
        };
        total_gb -= size_gb;
        images.remove(&image);
    }
}
