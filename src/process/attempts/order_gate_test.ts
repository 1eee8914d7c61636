import { createMemoryPlatform } from "../../../test/fakes/memory_platform.ts";
import type { MemoryPlatform } from "../../../test/fakes/memory_platform.ts";
import {
  createOrderGate,
  type OrderGate,
  type OrderOutcome,
  type TargetOrder,
} from "./order_gate.ts";

const leaseMs = 2_000;
const maxOrderMs = 3_000;

/** An engine that records the orders it accepts. */
interface FakeEngine {
  readonly checksFencing: boolean;
  highestNumber: number;
  readonly history: TargetOrder[];
}

function applyOrder(engine: FakeEngine, order: TargetOrder): OrderOutcome {
  if (engine.checksFencing && order.fencingNumber < engine.highestNumber) {
    return "fenced";
  }
  engine.highestNumber = Math.max(engine.highestNumber, order.fencingNumber);
  engine.history.push(order);
  return "accepted";
}

function createOrder(fencingNumber: number, operator = "op"): TargetOrder {
  return {
    action: "load_adapter",
    adapter: `a${fencingNumber}`,
    operator,
    fencingNumber,
  };
}

describe("order gate", () => {
  let platform: MemoryPlatform;

  beforeEach(() => {
    jest.useFakeTimers();
    platform = createMemoryPlatform();
  });

  afterEach(() => jest.useRealTimers());

  function createGate(
    engine: FakeEngine,
    options: { readonly holder: string; readonly sendDelayMs?: number },
  ): OrderGate {
    return createOrderGate({
      platform: platform.connect(),
      checksFencing: () => engine.checksFencing,
      send: async (order) => {
        const { sendDelayMs = 0 } = options;
        if (sendDelayMs > 0) {
          await new Promise((resolve) => setTimeout(resolve, sendDelayMs));
        }
        return applyOrder(engine, order);
      },
    }, {
      key: "order/t1",
      holder: options.holder,
      leaseMs,
      maxOrderMs,
    });
  }

  async function settle<Value>(promise: Promise<Value>): Promise<Value> {
    let hasSettled = false;
    void promise.finally(() => {
      hasSettled = true;
    });
    for (let steps = 0; steps < 200 && !hasSettled; steps++) {
      await jest.advanceTimersByTimeAsync(100);
    }
    return await promise;
  }

  for (const checksFencing of [true, false]) {
    describe(`engine that ${checksFencing ? "checks" : "ignores"} numbers`, () => {
      let engine: FakeEngine;

      beforeEach(() => {
        engine = { checksFencing, highestNumber: 0, history: [] };
      });

      it("refuses an old number, also after an agent restart", async () => {
        const gate = createGate(engine, { holder: "agent/1" });
        expect(await settle(gate.submit(createOrder(2))))
          .toEqual({ kind: "accepted" });
        expect(await settle(gate.submit(createOrder(1))))
          .toEqual({ kind: "refused", code: "order_fenced" });
        const restarted = createGate(engine, { holder: "agent/2" });
        expect(await settle(restarted.submit(createOrder(1))))
          .toEqual({ kind: "refused", code: "order_fenced" });
        expect(engine.history).toHaveLength(1);
      });

      it("keeps a stalled holder from overriding a newer order", async () => {
        const frozen = createGate(engine, {
          holder: "agent/1",
          // The order takes effect after the maximum delay.
          sendDelayMs: maxOrderMs,
        });
        const late = frozen.submit(createOrder(1));
        await jest.advanceTimersByTimeAsync(100);
        const next = createGate(engine, { holder: "agent/2" });
        const newer = next.submit(createOrder(2));
        expect(await settle(newer)).toEqual({ kind: "accepted" });
        await settle(late);
        expect(engine.history.at(-1)?.fencingNumber).toBe(2);
      });

      it("refuses its own order when the lease has expired", async () => {
        const gate = createGate(engine, { holder: "agent/1" });
        // The platform responds only after the lease has expired.
        platform.serviceFaults.delayMs = leaseMs;
        const order = gate.submit(createOrder(1));
        expect(await settle(order))
          .toEqual({ kind: "refused", code: "order_fenced" });
        expect(engine.history).toHaveLength(0);
      });

      it("retries when the response to its write was lost", async () => {
        const client = platform.connect();
        client.faults.lostAnswers = 1;
        const gate = createOrderGate({
          platform: client,
          checksFencing: () => checksFencing,
          send: (order) => Promise.resolve(applyOrder(engine, order)),
        }, {
          key: "order/t1",
          holder: "agent/1",
          leaseMs,
          maxOrderMs,
        });
        expect(await settle(gate.submit(createOrder(1))))
          .toEqual({ kind: "accepted" });
        expect(engine.history).toHaveLength(1);
      });

      it("refuses orders while the platform is down", async () => {
        platform.serviceFaults.outage = true;
        const gate = createGate(engine, { holder: "agent/1" });
        expect(await settle(gate.submit(createOrder(1))))
          .toEqual({ kind: "refused", code: "platform_unavailable" });
        expect(engine.history).toHaveLength(0);
      });

      it("accepts only one of two operators with the same number", async () => {
        const gate = createGate(engine, { holder: "agent/1" });
        await settle(gate.submit(createOrder(1, "ann")));
        expect(await settle(gate.submit(createOrder(1, "bob"))))
          .toEqual({ kind: "refused", code: "order_fenced" });
      });
    });
  }

  it("lets a late order win without the wait or the check", async () => {
    const engine = { checksFencing: false, highestNumber: 0, history: [] };
    const naive = (delayMs: number) => async (order: TargetOrder) => {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
      return applyOrder(engine as FakeEngine, order);
    };
    const late = naive(maxOrderMs)(createOrder(1));
    const newer = naive(0)(createOrder(2));
    await settle(Promise.all([late, newer]));
    expect((engine as FakeEngine).history.at(-1)?.fencingNumber).toBe(1);
  });
});
