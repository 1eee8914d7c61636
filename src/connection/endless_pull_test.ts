import { fork } from "node:child_process";
import { once } from "node:events";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createRouterMember } from "../../test/support/drafts.ts";
import { createWork } from "../../test/support/request_history.ts";
import { createControlBudget } from "../process/membership/control_budget.ts";
import type { Dispatch } from "../types/agent_calls.ts";
import { createAgentClient } from "./agent_client.ts";
import { createConfigurationClient } from "./configuration_client.ts";
import { pullCachedParts, pullDirectory } from "./directory_pull.ts";
import { pullMembers } from "./member_pull.ts";

/** Added to the timeout of a pull, so that a busy machine fails none, in ms. */
const graceMs = 4_300;

/** Timeout of the short pulls, in milliseconds. */
const shortTimeoutMs = 700;

/** Memory that a pull may take meanwhile, in bytes. */
const maxGrownBytes = 96 * 1024 * 1024;

/**
 * Interval at which garbage is collected, in milliseconds. The resident size would
 * else hold what the runtime has not collected yet, which grows with the load of
 * the machine.
 */
const collectionIntervalMs = 250;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** What the peer sends without end, as `endless_grpc_peer.js` names it. */
const floods = [
  ...["a message of two million entries", "a message that never ends"] as const,
  ...["a message larger than any", "messages", "interim responses"] as const,
  "nothing",
] as const;

/** A call to a peer that rejects when it fails. */
interface Pull {
  readonly pull: (port: number) => Promise<unknown>;
  readonly timeoutMs: number;
  /** The message of very many entries that this call would decode. */
  readonly message: "entries" | "head";
}

function createPeer(port: number) {
  const member = createRouterMember("router-1");
  return { ...member, address: "127.0.0.1", grpcPort: port };
}

async function pullAllMembers(port: number): Promise<void> {
  const members = await pullMembers(createPeer(port), {
    bucketHashes: [1],
    budget: createControlBudget({ bytesPerSecond: 1_000_000 }),
  });
  if (members === undefined) throw new Error("The pull has failed");
}

async function pullConfiguration(port: number): Promise<void> {
  const client = createConfigurationClient({ recordBytes: () => undefined });
  const result = await client.pull(createPeer(port), 0).run();
  client.close();
  if (result.isLeft()) throw new Error("The pull has failed");
}

function createDispatch(grpcPort: number): Dispatch {
  const work = createWork({ requestId: "request-1", call: "call-1" });
  return {
    attempt: { router: "router-1", routerIncarnation: 1, number: 1 },
    target: { id: "agent-1", address: "127.0.0.1", grpcPort, incarnation: 1 },
    work: { ...work, deadlineAt: Date.now() + 500 },
    crashes: 0,
    claim: "",
    configurationVersion: 1,
    observedLoads: [],
    silentTargets: 0,
    conversationHash: 0,
    onlyIfHeld: false,
  };
}

/** Reads what an agent sends until the connection or the time is over. */
async function runAtAgent(port: number): Promise<void> {
  const client = createAgentClient();
  const dispatch = createDispatch(port);
  try {
    for await (const event of client.run(dispatch)) {
      if (event.kind === "lost") throw new Error("The response is lost");
    }
  } finally {
    client.close();
  }
}

describe("a pull whose peer sends without end", () => {
  const pulls: Readonly<Record<string, Pull>> = {
    "the directory": {
      ...{ message: "entries", timeoutMs: shortTimeoutMs },
      pull: (port) =>
        pullDirectory({ address: "127.0.0.1", port }, { era: 0, revision: 0 }),
    },
    "the cached parts": {
      ...{ message: "entries", timeoutMs: shortTimeoutMs },
      pull: (port) => pullCachedParts({ address: "127.0.0.1", port }),
    },
    "the members": {
      ...{ message: "entries", timeoutMs: 2_000 },
      pull: pullAllMembers,
    },
    "the configuration": {
      ...{ message: "entries", timeoutMs: 5_000 },
      pull: pullConfiguration,
    },
    "a response of an agent": {
      ...{ message: "head", timeoutMs: 2_500 },
      pull: runAtAgent,
    },
  };

  // Two bytes become an object of a hundred: the process ran out of memory.
  describe.each(Object.entries(pulls))("%s", (_name, options) => {
    const { pull, message, timeoutMs } = options;
    it.each(floods)(
      "is rejected in time and takes bounded memory: %s",
      async (flood) => {
        const peer = fork("test/support/endless_grpc_peer.js", [
          ...[flood, message],
        ], { execArgv: [] });
        const [port] = await once(peer, "message") as [number];
        collectGarbage();
        const before = process.memoryUsage.rss();
        const collections = setInterval(collectGarbage, collectionIntervalMs);
        const startedAt = performance.now();
        try {
          await expect(pull(port)).rejects.toThrow();
          expect(performance.now() - startedAt)
            .toBeLessThan(timeoutMs + graceMs);
          expect(process.memoryUsage.rss() - before)
            .toBeLessThan(maxGrownBytes);
        } finally {
          clearInterval(collections);
          peer.kill("SIGKILL");
        }
      },
    );
  });
});
