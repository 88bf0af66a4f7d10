import type { Random } from "../bench/Random.js";

/**
 * Picks one of several items.
 * @param items - At least one item.
 * @param random - Random source.
 */
export function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[random.getIndex(items.length)] as Item;
}
