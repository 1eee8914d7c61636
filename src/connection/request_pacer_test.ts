import { createRequestPacer } from "./request_pacer.ts";

describe("request pacer", () => {
  it("releases a few requests per turn of the event loop", async () => {
    const pacer = createRequestPacer();
    let turn = 0;
    const releaseTurns: number[] = [];
    const allReleased = Promise.all(
      Array.from(
        { length: 10 },
        () => pacer.waitForTurn().then(() => releaseTurns.push(turn)),
      ),
    );
    while (releaseTurns.length < 10) {
      turn++;
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    await allReleased;
    const counts = [...new Set(releaseTurns)].map((at) =>
      releaseTurns.filter((other) => other === at).length
    );
    expect(counts).toEqual([4, 4, 2]);
  });

  it("keeps the order of arrival", async () => {
    const pacer = createRequestPacer();
    const order: number[] = [];
    await Promise.all(
      [1, 2, 3, 4, 5, 6].map((name) =>
        pacer.waitForTurn().then(() => order.push(name))
      ),
    );
    expect(order).toEqual([1, 2, 3, 4, 5, 6]);
  });
});
