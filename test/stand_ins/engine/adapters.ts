/** Adapters of an engine and the fencing numbers of its orders. */

/** An order to load or unload an adapter. */
export interface AdapterOrder {
  readonly action: string;
  readonly adapter: string;
  readonly fencingNumber: number;
}

/** Keeps the adapters that are loaded. */
export interface Adapters {
  /** Carries an order out, or refuses one with an old number. */
  order(order: AdapterOrder): "accepted" | "fenced" | "bad_action";
  getLoaded(): readonly string[];
  /** All orders that were carried out, in their order. */
  getHistory(): readonly AdapterOrder[];
  getHighestFencingNumber(): number;
}

/** Creates an engine's empty set of adapters. */
export function createAdapters(
  host: { readonly checksFencing: () => boolean },
): Adapters {
  const loaded = new Set<string>();
  const history: AdapterOrder[] = [];
  let highest = 0;

  return {
    order,
    getLoaded: () => [...loaded].sort(),
    getHistory: () => [...history],
    getHighestFencingNumber: () => highest,
  };

  function order(given: AdapterOrder): "accepted" | "fenced" | "bad_action" {
    if (host.checksFencing() && given.fencingNumber < highest) return "fenced";
    if (given.action === "load_adapter") {
      loaded.add(given.adapter);
    } else if (given.action === "unload_adapter") {
      loaded.delete(given.adapter);
    } else {
      return "bad_action";
    }
    highest = Math.max(highest, given.fencingNumber);
    history.push(given);
    return "accepted";
  }
}
