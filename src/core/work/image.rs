//! Images of tasks, and how much filling tasks of one image disturb serving tasks of another.
//!
//! Workers report the response time of each serving task. The model explains its logarithm by a base for the image, the
//! current load of the task, and a weight for each core that filling tasks of another image use beside it. Readings are
//! rough and late, so each one moves the estimates by a small step (normalised least mean squares). An image that was
//! never seen beside another has a weight in between, so that it is tried with care.

use crate::hash::Map;

/// Index of an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u16);

/// Weight of a pair of images before anything is known, in logarithms of the response time per core.
const PRIOR: f64 = 0.15;

/// Logarithm of the response time, in milliseconds, of a serving task that nothing disturbs, before anything is known.
const BASE: f64 = 2.7;

/// Share of an error that one reading corrects in the weights.
const WEIGHT_STEP: f64 = 0.06;

/// Share of an error that one reading corrects in the base of an image.
const BASE_STEP: f64 = 0.01;

/// Added to the squared load in the normalisation, so that small loads do not cause large steps.
const DAMPING: f64 = 2.0;

/// Images by name, and what is known of each pair.
#[derive(Debug, Clone, Default)]
pub struct Table {
    by_name: Map<String, Key>,
    /// Weights by serving image, then filling image.
    weights: Vec<Vec<f64>>,
    bases: Vec<f64>,
}

/// What is known of all images, as it is stored.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Knowledge {
    /// Names, with the logarithm of the response time that nothing disturbs.
    pub images: Vec<(String, f64)>,
    /// Serving and filling image by position, with the weight of the pair.
    pub pairs: Vec<(usize, usize, f64)>,
}

/// Processor time in cores that filling tasks of an image use.
pub type Load = (Key, f64);

impl Table {
    /// Key of an image, added if it is new.
    pub fn enter(&mut self, name: &str) -> Key {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = Key(self.bases.len() as u16);
        self.by_name.insert(name.to_owned(), key);
        self.bases.push(BASE);
        for row in &mut self.weights {
            row.push(PRIOR);
        }
        self.weights.push(vec![PRIOR; self.bases.len()]);
        key
    }

    /// Everything that is known, without pairs of which nothing is.
    pub fn knowledge(&self) -> Knowledge {
        let mut images = vec![(String::new(), BASE); self.bases.len()];
        for (name, key) in &self.by_name {
            images[usize::from(key.0)] = (name.clone(), self.bases[usize::from(key.0)]);
        }
        let rows = self.weights.iter().enumerate();
        let pairs = rows.flat_map(|(serving, row)| {
            row.iter().enumerate().map(move |(filling, weight)| (serving, filling, *weight))
        });
        Knowledge { images, pairs: pairs.filter(|(.., weight)| *weight != PRIOR).collect() }
    }

    /// Takes over what an earlier leader knew.
    pub fn restore(&mut self, knowledge: &Knowledge) {
        let keys: Vec<Key> = knowledge.images.iter().map(|(name, _)| self.enter(name)).collect();
        for (key, (_, base)) in keys.iter().zip(&knowledge.images) {
            self.bases[usize::from(key.0)] = *base;
        }
        for (serving, filling, weight) in &knowledge.pairs {
            if let (Some(serving), Some(filling)) = (keys.get(*serving), keys.get(*filling)) {
                self.weights[usize::from(serving.0)][usize::from(filling.0)] = *weight;
            }
        }
    }

    /// What a core of a filling image adds to the logarithm of a serving image's response time.
    pub fn weight(&self, serving: Key, filling: Key) -> f64 {
        self.weights[usize::from(serving.0)][usize::from(filling.0)]
    }

    /// Expected logarithm of the response time of a serving task beside these loads.
    pub fn expect(&self, serving: Key, beside: impl IntoIterator<Item = Load>) -> f64 {
        let disturbed: f64 =
            beside.into_iter().map(|(filling, cores)| self.weight(serving, filling) * cores).sum();
        self.bases[usize::from(serving.0)] + disturbed
    }

    /// Learns from a reading; `excess` is the part of its logarithm that the task's own load explains. Returns the error.
    pub fn learn(&mut self, serving: Key, beside: &[Load], excess: f64, reading: f64) -> f64 {
        let error = reading - excess - self.expect(serving, beside.iter().copied());
        let norm = DAMPING + beside.iter().map(|(_, cores)| cores * cores).sum::<f64>();
        let row = &mut self.weights[usize::from(serving.0)];
        for (filling, cores) in beside {
            let weight = &mut row[usize::from(filling.0)];
            *weight = (*weight + WEIGHT_STEP * error * cores / norm).max(0.0);
        }
        self.bases[usize::from(serving.0)] += BASE_STEP * error;
        error
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a model that blames every neighbour for what one of them does.
    #[test]
    fn learns_which_image_disturbs() {
        let mut table = Table::default();
        let serving = table.enter("desk");
        let (heavy, light) = (table.enter("heavy"), table.enter("light"));
        for round in 0..2_000_u32 {
            let loads = [(heavy, f64::from(round % 3)), (light, f64::from(round % 5))];
            let reading = 3.0 + 0.5 * loads[0].1 + 0.02 * loads[1].1;
            table.learn(serving, &loads, 0.0, reading);
        }
        assert!(table.weight(serving, heavy) > 0.4, "{}", table.weight(serving, heavy));
        assert!(table.weight(serving, light) < 0.1, "{}", table.weight(serving, light));
    }

    /// Guards against a new leader that has to learn again what its predecessor knew.
    #[test]
    fn knowledge_survives_a_change_of_the_leader() {
        let mut table = Table::default();
        let (serving, filling) = (table.enter("desk"), table.enter("test"));
        for _ in 0..200 {
            table.learn(serving, &[(filling, 2.0)], 0.0, 4.0);
        }
        let mut other = Table::default();
        let (filling_there, serving_there) = (other.enter("test"), other.enter("desk"));
        other.restore(&table.knowledge());
        assert_eq!(other.weight(serving_there, filling_there), table.weight(serving, filling));
        assert_eq!(other.expect(serving_there, []), table.expect(serving, []));
    }

    /// Guards against a weight that becomes negative, which would make crowding look useful.
    #[test]
    fn weights_stay_at_zero_or_above() {
        let mut table = Table::default();
        let (serving, filling) = (table.enter("desk"), table.enter("test"));
        for _ in 0..100 {
            table.learn(serving, &[(filling, 4.0)], 0.0, 0.0);
        }
        assert!(table.weight(serving, filling) >= 0.0);
    }
}
