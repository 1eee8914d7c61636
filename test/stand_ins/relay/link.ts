/** The state of one relayed path and how long its data is held. */

/** Which way a path is cut. */
export type Cut = "none" | "to_target" | "from_target" | "both";

/** The way that data goes. */
export type Direction = "to_target" | "from_target";

/** What one path does now. */
export interface LinkState {
  readonly cut: Cut;
  /** Time that data takes, in milliseconds. */
  readonly delayMs: number;
}

/** State that relays read and that tests change. */
export interface Link {
  getState(): LinkState;
  setState(state: LinkState): void;
  isCut(direction: Direction): boolean;
  /** Resolves when data may go on in this direction. */
  waitForHeal(direction: Direction): Promise<void>;
}

/** Creates a path that is whole. */
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
