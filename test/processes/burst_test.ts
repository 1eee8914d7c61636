import { sendChat } from "../harness/chat.ts";
import {
  type RunningProcess,
  startFleet,
  type TestFleet,
} from "../harness/fleet.ts";

describe("a burst of chats", () => {
  let fleet: TestFleet;

  beforeEach(async () => {
    fleet = await startFleet({ routers: 2, engines: 3, services: 2 });
  });
  afterEach(() => fleet?.stop());

  it("is served by the other agents while one agent is frozen", async () => {
    const [first, second] = fleet.routers as [RunningProcess, RunningProcess];
    const [frozen] = fleet.engineAgents as [RunningProcess];
    frozen.child.signal("SIGSTOP");
    const responses = await Promise.all(
      Array.from(
        { length: 12 },
        (_, index) =>
          sendChat(index % 2 === 0 ? first.callerUrl : second.callerUrl, {
            messages: [{ role: "user", content: "A note about spring" }],
            conversation: `frozen-${index}`,
          }),
      ),
    );
    expect(responses.map(({ outcome }) => outcome))
      .toEqual(responses.map(() => "done"));
    expect(responses.every(({ targetId }) => targetId !== frozen.id)).toBe(
      true,
    );
  });
});
