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
  });
});
