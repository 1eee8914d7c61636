import { createReadPace, type ResponsePace } from "./read_pace.ts";

/** Length of a replay and its step, in milliseconds. */
const lengthMs = 10_000;
const stepMs = 10;

describe("the pace at which responses are read", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  // Events without end took the time of all other callers.
  it.each([4, 12, 100])(
    "bounds what %d responses without end take, and delays no sound one",
    (floodCount) => {
      const pace = createReadPace();
      const floods = Array.from({ length: floodCount }, () => createFlood());
      const sound = Array.from({ length: 200 }, () => pace.begin());
      let soundWaitMs = 0;
      for (let elapsedMs = 0; elapsedMs < lengthMs; elapsedMs += stepMs) {
        for (const flood of floods) flood.read();
        for (const response of sound) soundWaitMs += response.take(1);
        jest.advanceTimersByTime(stepMs);
      }
      const pieces = floods.reduce((sum, { count }) => sum + count(), 0);
      const seconds = lengthMs / 1_000;
      const ownPieces = floodCount * (1_000 + 500 * seconds);
      expect(pieces).toBeLessThanOrEqual(ownPieces + 25_000 * seconds);
      expect(pieces).toBeGreaterThan(15_000 * seconds);
      expect(soundWaitMs).toBe(0);

      /** Reads 256 pieces whenever it may. */
      function createFlood() {
        const response = pace.begin();
        let waitsUntil = 0;
        let pieces = 0;
        return {
          count: () => pieces,
          read: () => {
            while (performance.now() >= waitsUntil) {
              pieces += 256;
              waitsUntil = performance.now() + response.take(256);
              if (waitsUntil === performance.now() && pieces > 1e6) return;
            }
          },
        };
      }
    },
  );

  // Many bodies of bytes without end took the time of all other callers.
  it("bounds the bytes of 100 responses, and delays no short one", () => {
    const pieceBytes = 64 * 1024;
    const pace = createReadPace();
    const floods = Array.from(
      { length: 100 },
      () => ({ pace: pace.begin(), waitsUntil: 0 }),
    );
    let bytes = 0;
    let shortWaitMs = 0;
    for (let elapsedMs = 0; elapsedMs < lengthMs; elapsedMs += stepMs) {
      for (const flood of floods) {
        if (performance.now() < flood.waitsUntil) continue;
        bytes += pieceBytes;
        flood.waitsUntil = performance.now() +
          flood.pace.take(1, { bytes: pieceBytes });
      }
      const short = pace.begin();
      for (let piece = 0; piece < 8; piece++) {
        shortWaitMs += short.take(1, { bytes: pieceBytes });
      }
      jest.advanceTimersByTime(stepMs);
    }
    const perS = bytes / (lengthMs / 1_000);
    expect(perS).toBeLessThan(100e6);
    expect(perS).toBeGreaterThan(50e6);
    expect(shortWaitMs).toBe(0);
  });

  it("lets a long response that arrives at once through in a second", () => {
    const response: ResponsePace = createReadPace().begin();
    let elapsedMs = 0;
    for (let pieces = 0; pieces < 16_000; pieces += 100) {
      const waitMs = response.take(100);
      elapsedMs += waitMs;
      jest.advanceTimersByTime(waitMs);
    }
    expect(elapsedMs).toBeLessThan(1_000);
  });
});
