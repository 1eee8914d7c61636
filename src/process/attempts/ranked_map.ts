/**
 * A bounded map that drops the oldest of the items with the lowest rank.
 *
 * Load pattern: a herd of crashes names thousands of items that are seen once. What
 * was seen several times has to outlast them, at a constant cost for each item.
 */

/** The items by key. */
export interface RankedMap<Item> {
  get(key: string): Item | undefined;
  /** Sets the newest item; its rank is a small integer of 0 or more. */
  set(key: string, item: Item, rank: number): void;
  delete(key: string): void;
  /** Returns the keys in no particular order. */
  keys(): readonly string[];
  getSize(): number;
}

/** Creates an empty map. */
export function createRankedMap<Item>(
  { maxItems }: { readonly maxItems: number },
): RankedMap<Item> {
  /** The items of each rank, the oldest first. */
  const itemsByRank: Map<string, Item>[] = [];
  const ranks = new Map<string, number>();

  return {
    get: (key) => itemsByRank[ranks.get(key) ?? -1]?.get(key),
    set,
    delete: remove,
    keys: () => [...ranks.keys()],
    getSize: () => ranks.size,
  };

  function set(key: string, item: Item, rank: number): void {
    remove(key);
    while (itemsByRank.length <= rank) itemsByRank.push(new Map());
    itemsByRank[rank]?.set(key, item);
    ranks.set(key, rank);
    if (ranks.size > maxItems) dropLowest();
  }

  function remove(key: string): void {
    itemsByRank[ranks.get(key) ?? -1]?.delete(key);
    ranks.delete(key);
  }

  function dropLowest(): void {
    const lowest = itemsByRank.find(({ size }) => size > 0);
    const [oldest] = lowest?.keys() ?? [];
    if (oldest !== undefined) remove(oldest);
  }
}
