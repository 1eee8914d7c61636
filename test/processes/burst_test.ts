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

  it("is served whole by others while an agent is frozen", async () => {
    const [first, second] = fleet.routers as [RunningProcess, RunningProcess];
    const [frozen] = fleet.engineAgents as [RunningProcess];
    frozen.child.signal("SIGSTOP");
    const answers = await Promise.all(
      Array.from(
        { length: 12 },
        (_, index) =>
          sendChat(index % 2 === 0 ? first.callerUrl : second.callerUrl, {
            messages: [{ role: "user", content: "A note about spring" }],
            conversation: `frozen-${index}`,
          }),
      ),
    );
    expect(answers.map(({ outcome }) => outcome))
      .toEqual(answers.map(() => "done"));
    expect(answers.every(({ place }) => place !== frozen.id)).toBe(true);
  });
});
