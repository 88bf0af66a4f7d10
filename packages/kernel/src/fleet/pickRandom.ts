/**
 * Picks several different items at random.
 * @param items - Items to pick from.
 * @param count - Number of items; all are picked when there are fewer.
 * @param getRandom - Gets a random number in [0, 1).
 */
export function pickRandom<Item>(
  items: readonly Item[],
  count: number,
  getRandom: () => number,
): readonly Item[] {
  const remaining = [...items];
  const picked: Item[] = [];
  while (picked.length < count && remaining.length > 0) {
    const index = Math.floor(getRandom() * remaining.length);
    picked.push(...remaining.splice(index, 1));
  }
  return picked;
}
