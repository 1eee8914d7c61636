import {
  createModelEngine,
  createPrefillHistory,
  type EngineModel,
} from "./model_engine.ts";

const model: EngineModel = {
  slots: 2,
  stepMs: 10,
  stepMsPerRequest: 0,
  prefillTokensPerMs: 10,
  chunkTokens: 100,
  memoryTokens: 2_000,
  copyTokensPerMs: 100,
  copySetupMs: 0,
  tokensPerEvent: 1,
  maxQueueLength: 1,
};
const shared = { id: "shared", tokens: 500 };

describe("an emulated engine", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function create(changes: Partial<EngineModel> = {}) {
    const prefillHistory = createPrefillHistory();
    const build = () =>
      createModelEngine({ ...model, ...changes }, prefillHistory);
    const events: string[] = [];
    let jobs = 0;
    const submit = (
      engine: ReturnType<typeof build>,
      options: {
        readonly ownTokens?: number;
        readonly priorityClass?: number;
        readonly source?: ReturnType<typeof build>;
        readonly outputTokens?: number;
      } = {},
    ) => {
      const name = `job-${++jobs}`;
      const startedAt = performance.now();
      let hasStarted = false;
      return engine.submit({
        parts: [shared, { id: name, tokens: options.ownTokens ?? 100 }],
        outputTokens: options.outputTokens ?? 2,
        priorityClass: options.priorityClass ?? 5,
        emit: () => {
          if (!hasStarted) {
            events.push(`${name} begins ${performance.now() - startedAt}`);
          }
          hasStarted = true;
        },
        finish: () => events.push(`${name} ends`),
        fail: () => events.push(`${name} fails`),
      }, options.source);
    };
    return { build, submit, events };
  }

  it("prefills a prompt in chunks and caches its parts", async () => {
    const { build, submit, events } = create();
    const engine = build();
    submit(engine);
    await jest.advanceTimersByTimeAsync(1_000);
    submit(engine);
    await jest.advanceTimersByTimeAsync(1_000);
    expect(events).toEqual([
      "job-1 begins 120",
      "job-1 ends",
      "job-2 begins 20",
      "job-2 ends",
    ]);
    expect(engine.getCounts()).toMatchObject({
      prefillTokens: 700,
      repeatedPrefillTokens: 0,
    });
  });

  it("prefills a part again while it is still being prefilled", async () => {
    const { build, submit } = create();
    const engine = build();
    submit(engine);
    submit(engine);
    await jest.advanceTimersByTimeAsync(1_000);
    expect(engine.getCounts().repeatedPrefillTokens).toBe(shared.tokens);
  });

  it("copies parts that another engine has cached", async () => {
    const { build, submit, events } = create();
    const [first, second] = [build(), build()];
    submit(first);
    await jest.advanceTimersByTimeAsync(1_000);
    submit(second, { source: first });
    await jest.advanceTimersByTimeAsync(1_000);
    expect(events).toContain("job-2 begins 25");
    expect(second.getCounts()).toMatchObject({
      copiedTokens: shared.tokens,
      repeatedPrefillTokens: 0,
    });
  });

  it("refuses requests when its queue is full", () => {
    const { build, submit } = create();
    const engine = build();
    expect([1, 2, 3, 4].map(() => submit(engine)))
      .toEqual([true, true, true, false]);
  });

  it("preempts the newest of the least urgent if memory is full", async () => {
    const { build, submit, events } = create({ memoryTokens: 1_300 });
    const engine = build();
    submit(engine, { ownTokens: 400, priorityClass: 1, outputTokens: 400 });
    submit(engine, { ownTokens: 300, priorityClass: 7, outputTokens: 400 });
    await jest.advanceTimersByTimeAsync(20_000);
    expect(engine.getCounts().preemptions).toBeGreaterThan(0);
    expect(events.indexOf("job-1 ends"))
      .toBeLessThan(events.indexOf("job-2 ends"));
    expect(events).toContain("job-2 ends");
  });

  it("loses its requests and its cache in a crash", async () => {
    const { build, submit, events } = create();
    const engine = build();
    submit(engine);
    await jest.advanceTimersByTimeAsync(50);
    engine.crash(100);
    expect(events).toEqual(["job-1 fails"]);
    expect(submit(engine)).toBe(false);
    expect(engine.getCachedParts([shared])).toEqual([]);
    await jest.advanceTimersByTimeAsync(100);
    expect(submit(engine)).toBe(true);
  });
});
