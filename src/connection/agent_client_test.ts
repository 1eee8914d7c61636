import { Server, ServerCredentials } from "@grpc/grpc-js";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { createWork } from "../../test/support/request_history.ts";
import type {
  AgentEvent,
  Dispatch,
  PlacedAttempt,
} from "../types/agent_calls.ts";
import type { ResponseReader } from "../types/response.ts";
import { createAgentClient } from "./agent_client.ts";
import { addAgentService, type AgentServerHost } from "./agent_server.ts";

/** A reader of a response that never begins. */
const silentReader: ResponseReader = {
  tryRead: () => undefined,
  onReadable: () => undefined,
  close: () => undefined,
};

/** Reads the refusal of an agent that was not meant. */
function createRefusalReader(): ResponseReader {
  let hasRead = false;
  return {
    ...silentReader,
    tryRead: () => {
      if (hasRead) return undefined;
      hasRead = true;
      return { kind: "refusal", code: "wrong_incarnation", retryAfterMs: 0 };
    },
  };
}

describe("a call to an agent", () => {
  const cleanUps: (() => void)[] = [];

  afterEach(() => {
    cleanUps.splice(0).forEach((cleanUp) => cleanUp());
  });

  async function startAgent(
    port: number,
    run: AgentServerHost["run"],
    cancel: AgentServerHost["cancel"] = () => undefined,
  ): Promise<{ readonly server: Server; readonly port: number }> {
    const server = new Server();
    addAgentService(server, {
      run,
      attach: () => silentReader,
      settle: () => "running",
      cancel,
      order: () => Promise.reject(new Error("No order is expected")),
      drain: () => 0,
      getLoad: () => 0,
    });
    const boundPort = await new Promise<number>((resolve, reject) => {
      server.bindAsync(
        `127.0.0.1:${port}`,
        ServerCredentials.createInsecure(),
        (error, bound) => error ? reject(error) : resolve(bound),
      );
    });
    cleanUps.push(() => server.forceShutdown());
    return { server, port: boundPort };
  }

  /** Starts a relay whose connections can be closed and led elsewhere. */
  async function startRelay(initialPort: number) {
    let targetPort = initialPort;
    const sockets = new Set<Socket>();
    const server = createServer((socket) => {
      const upstream = connect(targetPort, "127.0.0.1");
      for (const end of [socket, upstream]) {
        sockets.add(end);
        end.on("error", () => undefined);
        end.on("close", () => {
          socket.destroy();
          upstream.destroy();
        });
      }
      socket.pipe(upstream).pipe(socket);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    cleanUps.push(() => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    });
    return {
      port: (server.address() as AddressInfo).port,
      leadTo: (port: number) => {
        targetPort = port;
      },
      end: (kind: "closed" | "reset") =>
        sockets.forEach((socket) =>
          kind === "reset" ? socket.resetAndDestroy() : socket.destroy()
        ),
    };
  }

  /** Runs an attempt whose connection ends once it has arrived. */
  async function runUntil(
    endConnection: (
      first: Server,
      relay: Awaited<ReturnType<typeof startRelay>>,
    ) => void,
  ): Promise<{ readonly event: AgentEvent; readonly laterRuns: number }> {
    let laterRuns = 0;
    let notifyArrival = (): void => undefined;
    const arrived = new Promise<void>((resolve) => {
      notifyArrival = resolve;
    });
    const first = await startAgent(0, () => {
      notifyArrival();
      return silentReader;
    });
    const second = await startAgent(0, () => {
      laterRuns++;
      return createRefusalReader();
    });
    const relay = await startRelay(first.port);
    const client = createAgentClient();
    cleanUps.push(client.close);
    const dispatch = createDispatch(relay.port);
    // A slow machine may take longer to connect than the client waits.
    while (await client.settle(dispatch) !== "running");
    const events = client.run(dispatch);
    const next = events.next();
    await arrived;
    relay.leadTo(second.port);
    endConnection(first.server, relay);
    const { value } = await next;
    return { event: value as AgentEvent, laterRuns };
  }

  const ends = {
    "is reset": (_first: Server, relay) => relay.end("reset"),
    "is closed": (_first: Server, relay) => relay.end("closed"),
    "ends with its process": (first: Server) => first.forceShutdown(),
    "ends in a shutdown": (first: Server, relay) => {
      first.tryShutdown(() => undefined);
      relay.end("closed");
    },
  } satisfies Record<string, Parameters<typeof runUntil>[0]>;

  it.each(Object.entries(ends))(
    "that has arrived is lost when its connection %s",
    async (_name, endConnection) => {
      const { event, laterRuns } = await runUntil(endConnection);
      expect(event).toEqual({ kind: "lost", sent: true });
      expect(laterRuns).toBe(0);
    },
  );

  // The target went on with the attempt beside the next one.
  it("that cancels arrives once the agent is reached again", async () => {
    const cancelled = new Promise<void>((resolve) => {
      void startAgent(0, () => silentReader, () => resolve())
        .then(async ({ port }) => {
          const relay = await startRelay(1);
          const client = createAgentClient();
          cleanUps.push(client.close);
          client.cancel(createDispatch(relay.port));
          setTimeout(() => relay.leadTo(port), 300);
        });
    });
    await cancelled;
  }, 10_000);

  it("is not sent without a connection", async () => {
    const { server, port } = await startAgent(0, () => silentReader);
    server.forceShutdown();
    const client = createAgentClient();
    cleanUps.push(client.close);
    const { value } = await client.run(createDispatch(port)).next();
    expect(value).toEqual({ kind: "lost", sent: false });
  });
});

function createDispatch(grpcPort: number): Dispatch {
  const placed: PlacedAttempt = {
    attempt: { router: "router-1", routerIncarnation: 1, number: 1 },
    target: { id: "agent-1", address: "127.0.0.1", grpcPort, incarnation: 1 },
  };
  return {
    ...placed,
    work: createWork({ requestId: "request-1", call: "call-1" }),
    crashes: 0,
    claim: "",
    configurationVersion: 1,
    observedLoads: [],
    silentTargets: 0,
    conversationHash: 0,
    onlyIfHeld: false,
  };
}
