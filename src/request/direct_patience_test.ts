import { createRoute } from "../../test/support/direct.ts";
import {
  getPriorityClass,
  getSilenceMs,
  getSuspicionMs,
} from "./direct_patience.ts";

describe("the patience of a try", () => {
  it("leaves a silent call time for another target", () => {
    const route = createRoute({ latencyGoalMs: 121 });
    expect(getSilenceMs(route, 600)).toBe(250);
    expect(getSilenceMs(route, 300)).toBe(135);
  });

  it("waits for a stream longer than for its goal", () => {
    const route = createRoute({ kind: "stream", latencyGoalMs: 400 });
    expect(getSilenceMs(route, 12_000)).toBe(1_200);
    expect(getSuspicionMs(route)).toBe(1_200);
  });

  it("suspects a target of short calls sooner than one of streams", () => {
    expect(getSuspicionMs(createRoute({ latencyGoalMs: 100 }))).toBe(300);
  });

  describe("urgency", () => {
    const artists = { workspace: "artists", priority: 0 };
    const shops = { workspace: "shops", priority: 2 };

    it("goes by the workspace first, then by the route", () => {
      const classes = [
        getPriorityClass({
          holder: artists,
          route: createRoute({ priority: 2 }),
        }),
        getPriorityClass({
          holder: shops,
          route: createRoute({ priority: 0 }),
        }),
        getPriorityClass({
          holder: shops,
          route: createRoute({ priority: 1 }),
        }),
      ];
      expect(classes).toEqual([2, 6, 7]);
    });

    it("stays within what engines know", () => {
      const route = createRoute({ priority: 9 });
      expect(getPriorityClass({ holder: shops, route })).toBe(9);
    });
  });
});
