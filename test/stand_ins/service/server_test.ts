import {
  defaultServiceSettings,
  type ServiceServer,
  startService,
} from "./server.ts";

describe("plain service stand-in", () => {
  let server: ServiceServer;

  beforeEach(async () => {
    const settings = { ...defaultServiceSettings, id: "service-1" };
    server = await startService(settings, { port: 0 });
  });
  afterEach(() => server.close());

  function call(path: string, body: unknown): Promise<Response> {
    return fetch(`http://127.0.0.1:${server.port}${path}`, {
      method: "POST",
      body: JSON.stringify(body),
    });
  }

  it("counts runs by call id", async () => {
    await call("/orders", { callId: "order-1" });
    const response = await call("/orders", { callId: "order-1" });
    expect(await response.json())
      .toEqual({ service: "service-1", call: "order-1", runs: 2 });
    const counts = await fetch(`http://127.0.0.1:${server.port}/counts`);
    expect(await counts.json())
      .toEqual({ counts: { "order-1": 2 }, total: 2, running: 0 });
  });

  it("identifies a call without an id by its method and path", async () => {
    await call("/proofs/7?delay_ms=1", "no object");
    expect(server.getCounts().counts).toEqual({
      "POST /proofs/7?delay_ms=1": 1,
    });
  });

  it("loses responses after the run", async () => {
    server.settings.lostAnswers = 1;
    await expect(call("/orders", { callId: "order-2" })).rejects.toThrow();
    expect(server.getCounts().counts["order-2"]).toBe(1);
  });
});
