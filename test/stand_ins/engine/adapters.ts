/** Loads and unloads an engine's adapters by fenced orders. */

/** An order to load or unload an adapter. */
export interface AdapterOrder {
  readonly action: string;
  readonly adapter: string;
  readonly fencingNumber: number;
}

/** Adapters of one engine. */
export interface Adapters {
  /** Executes an order, or refuses one with an outdated fencing number. */
  order(order: AdapterOrder): "accepted" | "fenced" | "bad_action";
  /** Returns the names of the loaded adapters, sorted. */
  getLoaded(): readonly string[];
  /** Returns all executed orders, the oldest first. */
  getHistory(): readonly AdapterOrder[];
  /** Returns the highest fencing number of all executed orders. */
  getHighestFencingNumber(): number;
}

/** Creates the adapters of an engine, with none loaded. */
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
