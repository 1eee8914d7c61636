import { createSilentLog } from "../process/telemetry/log.ts";
import { type SignalHost, waitForSignal } from "./signals.ts";

describe("signals", () => {
  function start() {
    const listeners = new Map<string, () => void>();
    const codes: number[] = [];
    const host: SignalHost = {
      on: (signal, listener) => void listeners.set(signal, listener),
      exit: (code) => void codes.push(code),
    };
    const stopped = waitForSignal(createSilentLog(), host);
    const send = (signal: string) => listeners.get(signal)?.();
    return { codes, stopped, send };
  }

  for (const signal of ["SIGTERM", "SIGINT"]) {
    it(`a first ${signal} starts a graceful stop`, async () => {
      const { codes, stopped, send } = start();
      send(signal);
      expect(await stopped).toBe(signal);
      expect(codes).toEqual([]);
    });
  }

  it("further SIGTERM signals are ignored", () => {
    const { codes, send } = start();
    send("SIGTERM");
    send("SIGTERM");
    send("SIGTERM");
    expect(codes).toEqual([]);
  });

  it("a second SIGINT exits the process immediately", () => {
    const { codes, send } = start();
    send("SIGTERM");
    send("SIGINT");
    expect(codes).toEqual([130]);
  });
});
