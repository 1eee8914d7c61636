/**
 * A persistent map: a change copies one shard and shares the others, so that
 * older versions stay unchanged at little cost.
 */

/** An immutable map from names to values; a change returns a new map. */
export interface ShardedMap<V> extends ReadonlyMap<string, V> {
  /** Returns a map with the entry added or replaced. */
  with(name: string, value: V): ShardedMap<V>;
  /** Returns a map without the entry. */
  without(name: string): ShardedMap<V>;
}

/** Number of shards; must be a power of two. */
const shardCount = 512;

const emptyShard: ReadonlyMap<string, never> = new Map<string, never>();

/** Creates a map of the entries. */
export function createShardedMap<V>(
  entries: Iterable<readonly [string, V]> = [],
): ShardedMap<V> {
  const shards: Map<string, V>[] = [];
  let size = 0;
  for (const [name, value] of entries) {
    const index = getShardIndex(name);
    const shard = shards[index] ??= new Map<string, V>();
    if (!shard.has(name)) size++;
    shard.set(name, value);
  }
  return wrapShards(shards, size);
}

function wrapShards<V>(
  shards: readonly (ReadonlyMap<string, V> | undefined)[],
  size: number,
): ShardedMap<V> {
  const map: ShardedMap<V> = {
    size,
    get: (name) => getShard(name).get(name),
    has: (name) => getShard(name).has(name),
    entries,
    keys,
    values,
    [Symbol.iterator]: entries,
    forEach: (callback) => {
      for (const [name, value] of entries()) callback(value, name, map);
    },
    with: withEntry,
    without: withoutEntry,
  };
  return map;

  function getShard(name: string): ReadonlyMap<string, V> {
    return shards[getShardIndex(name)] ?? emptyShard;
  }

  function* entries(): MapIterator<[string, V]> {
    for (const shard of shards) {
      if (shard !== undefined) yield* shard.entries();
    }
    return undefined;
  }

  function* keys(): MapIterator<string> {
    for (const [name] of entries()) yield name;
    return undefined;
  }

  function* values(): MapIterator<V> {
    for (const [, value] of entries()) yield value;
    return undefined;
  }

  function withEntry(name: string, value: V): ShardedMap<V> {
    const shard = getShard(name);
    const copy = new Map(shard).set(name, value);
    return replaceShard(name, copy, size + copy.size - shard.size);
  }

  function withoutEntry(name: string): ShardedMap<V> {
    if (!getShard(name).has(name)) return map;
    const copy = new Map(getShard(name));
    copy.delete(name);
    return replaceShard(name, copy, size - 1);
  }

  function replaceShard(
    name: string,
    shard: ReadonlyMap<string, V>,
    newSize: number,
  ): ShardedMap<V> {
    const copy = shards.slice();
    copy[getShardIndex(name)] = shard;
    return wrapShards(copy, newSize);
  }
}

/** Returns the index of a name's shard, from an FNV-1a hash. */
function getShardIndex(name: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < name.length; index++) {
    hash = Math.imul(hash ^ name.charCodeAt(index), 0x01000193);
  }
  return (hash ^ (hash >>> 15)) & (shardCount - 1);
}
