/** The state of a relayed link, which tests cut, delay and heal. */

/** The directions in which a link is cut. */
export type Cut = "none" | "to_target" | "from_target" | "both";

/** A direction in which data is sent over a link. */
export type Direction = "to_target" | "from_target";

/** The current faults of a link. */
export interface LinkState {
  readonly cut: Cut;
  /** Delay of the data in each direction, in milliseconds. */
  readonly delayMs: number;
}

/** A link; relays read its state and tests change it. */
export interface Link {
  getState(): LinkState;
  setState(state: LinkState): void;
  isCut(direction: Direction): boolean;
  /** Resolves when the link is not cut in this direction. */
  waitForHeal(direction: Direction): Promise<void>;
}

/** Creates a link that is not cut and has no delay. */
export function createLink(): Link {
  let state: LinkState = { cut: "none", delayMs: 0 };
  let waiting: (() => void)[] = [];

  return { getState: () => state, setState, isCut, waitForHeal };

  function setState(next: LinkState): void {
    state = next;
    const pending = waiting;
    waiting = [];
    pending.forEach((resolve) => resolve());
  }

  function isCut(direction: Direction): boolean {
    return state.cut === "both" || state.cut === direction;
  }

  async function waitForHeal(direction: Direction): Promise<void> {
    while (isCut(direction)) {
      await new Promise<void>((resolve) => {
        waiting.push(resolve);
      });
    }
  }
}
