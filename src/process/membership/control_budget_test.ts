import { createControlBudget } from "./control_budget.ts";

const bytesPerSecond = 10_000;

describe("control budget", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("drops load probes first and urgent messages last", () => {
    const budget = createControlBudget({ bytesPerSecond });
    const trySend = (kind: "load_probe" | "reply" | "urgent"): boolean =>
      budget.trySpend(100, { purpose: "loads", class: kind });
    const sent = { load_probe: 0, reply: 0, urgent: 0 };
    while (trySend("load_probe")) sent.load_probe++;
    while (trySend("reply")) sent.reply++;
    while (trySend("urgent")) sent.urgent++;
    expect(sent).toEqual({ load_probe: 50, reply: 40, urgent: 10 });
  });

  it("never exceeds its rate over time", () => {
    const budget = createControlBudget({ bytesPerSecond });
    let sent = 0;
    for (let step = 0; step < 1_000; step++) {
      for (let message = 0; message < 10; message++) {
        const options = { purpose: "membership", class: "urgent" } as const;
        if (budget.trySpend(700, options)) sent += 700;
      }
      jest.advanceTimersByTime(10);
    }
    expect(sent).toBeLessThanOrEqual(bytesPerSecond * (10 + 1));
  });

  it("counts received bytes against the same rate", () => {
    const budget = createControlBudget({ bytesPerSecond });
    budget.recordTraffic(1_000_000, "membership", "received");
    const options = { purpose: "loads", class: "urgent" } as const;
    expect(budget.trySpend(100, options)).toBe(false);
    jest.advanceTimersByTime(100);
    expect(budget.trySpend(100, options)).toBe(true);
  });
});
