import { createTarget } from "../../test/support/direct.ts";
import { targetCodec } from "./target_codec.ts";

describe("the codec of targets", () => {
  describe("the notice of a response", () => {
    const target = createTarget("i-1");

    function decode(
      status: number,
      headers: Readonly<Record<string, string>>,
    ) {
      return targetCodec.decodeNotice(
        status,
        Object.entries(headers).map(([name, value]) => ({ name, value })),
        target,
      );
    }

    describe("of a target that leaves", () => {
      for (const status of [200, 404, 429, 500, 503]) {
        it(`is read at status ${status}`, () => {
          expect(decode(status, { "Server-Leaving": "1" }).isLeaving)
            .toBe(true);
        });
      }

      for (const value of ["0", "", "yes", "2"]) {
        it(`is not read from the value "${value}"`, () => {
          expect(decode(200, { "Server-Leaving": value }).isLeaving)
            .toBe(false);
        });
      }

      it("is not read from another target at the address", () => {
        const headers = { "Server-Leaving": "1" };
        expect(decode(421, headers).isLeaving).toBe(false);
        expect(decode(200, { ...headers, "X-Instance": "i-2" }).isLeaving)
          .toBe(false);
        expect(decode(200, { ...headers, "X-Instance": "i-1" }).isLeaving)
          .toBe(true);
      });
    });

    describe("of a target that asks for a pause", () => {
      for (
        const [value, ms] of Object.entries({
          "2": 2_000,
          "0.5": 500,
          "0": 0,
          "120.25": 120_250,
        })
      ) {
        it(`is read from the seconds "${value}"`, () => {
          const headers = { "X-Not-Run": "full", "Retry-After": value };
          expect(decode(503, headers).pause).toEqual({ kind: "asked", ms });
        });
      }

      for (
        const value of [
          ...["", "soon", "-1", "+1", "1e3", "0x10", "1.", ".5", "1,5", "2 s"],
          ...["NaN", "Infinity", "Wed, 21 Oct 2026 07:28:00 GMT"],
        ]
      ) {
        it(`is not read from "${value}"`, () => {
          expect(decode(503, { "Retry-After": value }).pause)
            .toEqual({ kind: "unreadable", text: value });
        });
      }

      it("is read at no other status", () => {
        for (const status of [200, 421, 429, 500, 504]) {
          expect(decode(status, { "Retry-After": "2" }).pause)
            .toEqual({ kind: "none" });
        }
        expect(decode(503, {}).pause).toEqual({ kind: "none" });
      });
    });
  });
});
