import {
  createFleetNetwork,
  getNode,
  getRunning,
  testTimeoutMs,
} from "./fleet_network.ts";

jest.setTimeout(testTimeoutMs);

describe("crash records", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it.each([
    { fanOut: 3, expectedCount: 30 },
    { fanOut: 0, expectedCount: 1 },
  ])("reach $expectedCount members with a fan-out of $fanOut", async (row) => {
    const { fanOut, expectedCount } = row;
    const network = createFleetNetwork({
      seed: 9,
      routers: 10,
      agents: 20,
      exchange: { fanOut },
    });
    await jest.advanceTimersByTimeAsync(1_000);
    network.setConditions({ lossRate: 0.1 });
    getNode(network, "agent-2").exchange.recordCrash("print-1");
    await jest.advanceTimersByTimeAsync(2_000);
    const informed = getRunning(network).filter(({ exchange }) =>
      exchange.getCrashes("print-1") === 1
    );
    expect(informed).toHaveLength(expectedCount);

    getNode(network, "agent-3").exchange.clearCrashes("print-1");
    await jest.advanceTimersByTimeAsync(2_000);
    const remaining = getRunning(network).filter(({ exchange }) =>
      exchange.getCrashes("print-1") > 0
    );
    expect(remaining).toHaveLength(fanOut === 0 ? 1 : 0);
    getRunning(network).forEach(network.kill);
  });
});
