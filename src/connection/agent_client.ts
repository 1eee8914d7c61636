/** Calls agents over gRPC, with one channel for each agent incarnation. */

import {
  type ClientOptions,
  type ClientReadableStream,
  connectivityState,
  credentials,
  makeGenericClientConstructor,
  Metadata,
} from "@grpc/grpc-js";
import {
  type AgentServiceClient,
  AgentServiceService,
  type RunEvent,
} from "../generated/mimosatray/v1/agent.ts";
import {
  type AgentCalls,
  type AgentEvent,
  type AgentEvents,
  type Dispatch,
  type PlacedAttempt,
  type SettleState,
  settleStates,
  type Target,
} from "../types/agent_calls.ts";
import { createReadPace } from "../process/admission/read_pace.ts";
import type { Dump } from "../types/role.ts";
import { toRunRequest } from "./agent_client_codec.ts";
import { createEventReader, type EventReader } from "./event_reader.ts";
import { limitResponses } from "./message_limits.ts";

/** Time in which a channel must connect, in milliseconds. */
const connectTimeoutMs = 500;

/** Timeout of calls that an agent responds to at once, in milliseconds. */
const shortCallTimeoutMs = 1_000;

/**
 * Delays before an attempt is cancelled again whose agent did not answer, in
 * milliseconds. Without a reader, agents cancel it after 10 s themselves.
 */
const cancelDelaysMs: readonly number[] = [0, 200, 400, 800, 1_600, 3_200];

/** Time from the caller's deadline until the stream is closed, in ms. */
const deadlineGraceMs = 2_000;

/** Timeout of an attached stream, in milliseconds. */
const attachTimeoutMs = 600_000;

/** Idle time after which a channel is closed, in milliseconds. */
const channelIdleTimeoutMs = 60_000;

/** Interval between checks for idle channels, in milliseconds. */
const sweepIntervalMs = 10_000;

const channelOptions: ClientOptions = {
  // A retry by the library could send an attempt that was already abandoned.
  "grpc.enable_retries": 0,
  "grpc.keepalive_time_ms": 2_000,
  "grpc.keepalive_timeout_ms": 2_000,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 2_000,
  "grpc.max_receive_message_length": 8 * 1024 * 1024,
  "grpc.use_local_subchannel_pool": 1,
};

/** The calls to agents and the channels that carry them. */
export interface AgentClient extends AgentCalls {
  close(): void;
  dump(): Dump;
}

const finished: IteratorResult<AgentEvent> = { done: true, value: undefined };

type ClientChannel = ReturnType<AgentServiceClient["getChannel"]>;

/** Field of the head, which has a list of headers, in an event. */
const headField = 2;

const LimitedClient = makeGenericClientConstructor(
  limitResponses(AgentServiceService, { counted: [headField] }),
  "mimosatray.v1.AgentService",
) as unknown as typeof AgentServiceClient;

interface Connection {
  readonly client: AgentServiceClient;
  inUse: number;
  lastUsedAt: number;
}

/** Creates a client; it connects with the first call to an agent. */
export function createAgentClient(): AgentClient {
  const connections = new Map<string, Connection>();
  const readPace = createReadPace();
  const sweepTimer = setInterval(closeIdleConnections, sweepIntervalMs);
  sweepTimer.unref();
  let isStopped = false;

  return { run, attach, settle, cancel, close, dump };

  function run(dispatch: Dispatch, onSent?: () => void): AgentEvents {
    const deadline = dispatch.work.deadlineAt + deadlineGraceMs;
    return openEvents(dispatch.target, (client) => {
      const stream = client.run(toRunRequest(dispatch), { deadline });
      onSent?.();
      return stream;
    });
  }

  function attach(placed: PlacedAttempt, offset: number): AgentEvents {
    const request = {
      attempt: placed.attempt,
      targetIncarnation: placed.target.incarnation,
      offset,
    };
    return openEvents(
      placed.target,
      (client) =>
        client.attach(request, { deadline: Date.now() + attachTimeoutMs }),
    );
  }

  function openEvents(
    target: Target,
    open: (client: AgentServiceClient) => ClientReadableStream<RunEvent>,
  ): AgentEvents {
    const connection = getConnection(target);
    let reader: EventReader | undefined;
    let isClosed = false;
    connection.inUse++;
    return {
      next,
      return: () => {
        close();
        return Promise.resolve(finished);
      },
      [Symbol.asyncIterator]() {
        return this;
      },
    };

    async function next(): Promise<IteratorResult<AgentEvent>> {
      if (isClosed) return finished;
      reader ??= await tryOpenReader();
      if (reader === undefined) {
        return { done: false, value: { kind: "lost", sent: false } };
      }
      return { done: false, value: await reader.read() };
    }

    async function tryOpenReader(): Promise<EventReader | undefined> {
      const isOpen = await waitUntilReady(connection.client.getChannel());
      if (!isOpen || isClosed) return undefined;
      return createEventReader(open(connection.client), readPace.begin());
    }

    function close(): void {
      if (isClosed) return;
      isClosed = true;
      reader?.close();
      connection.inUse--;
      connection.lastUsedAt = performance.now();
    }
  }

  async function settle(placed: PlacedAttempt): Promise<SettleState> {
    const { client } = getConnection(placed.target);
    if (!await waitUntilReady(client.getChannel())) return "no_answer";
    return await new Promise((resolve) => {
      client.settle(
        toAttemptRequest(placed),
        new Metadata(),
        { deadline: Date.now() + shortCallTimeoutMs },
        (error, response) => {
          resolve(error ? "no_answer" : parseSettleState(response.state));
        },
      );
    });
  }

  function cancel(placed: PlacedAttempt): void {
    void cancelUntilAnswered(placed);
  }

  async function cancelUntilAnswered(placed: PlacedAttempt): Promise<void> {
    for (const delayMs of cancelDelaysMs) {
      if (delayMs > 0) await sleep(delayMs);
      if (isStopped || await tryCancel(placed)) return;
    }
  }

  /** Returns true when the agent has received the call. */
  function tryCancel(placed: PlacedAttempt): Promise<boolean> {
    const { client } = getConnection(placed.target);
    return new Promise((resolve) => {
      client.cancel(
        toAttemptRequest(placed),
        new Metadata(),
        { deadline: Date.now() + shortCallTimeoutMs },
        (error) => resolve(error === null),
      );
    });
  }

  function getConnection(target: Target): Connection {
    const key = getConnectionKey(target);
    const existing = connections.get(key);
    if (existing !== undefined) {
      existing.lastUsedAt = performance.now();
      return existing;
    }
    const client = new LimitedClient(
      `${target.address}:${target.grpcPort}`,
      credentials.createInsecure(),
      channelOptions,
    );
    const connection = { client, inUse: 0, lastUsedAt: performance.now() };
    connections.set(key, connection);
    return connection;
  }

  function closeIdleConnections(): void {
    const minLastUsedAt = performance.now() - channelIdleTimeoutMs;
    connections.forEach((connection, key) => {
      if (connection.inUse > 0 || connection.lastUsedAt > minLastUsedAt) return;
      connection.client.close();
      connections.delete(key);
    });
  }

  function close(): void {
    isStopped = true;
    clearInterval(sweepTimer);
    connections.forEach(({ client }) => client.close());
    connections.clear();
  }

  function dump(): Dump {
    return [...connections].map(([key, connection]) => ({
      agent: key,
      inUse: connection.inUse,
      state: connectivityState[
        connection.client.getChannel().getConnectivityState(false)
      ],
    }));
  }
}

/** Waits without keeping the process alive. */
function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs).unref();
  });
}

/** Returns the key of the connection to one incarnation of an agent. */
function getConnectionKey(target: Target): string {
  return `${target.id}/${target.incarnation}` +
    `@${target.address}:${target.grpcPort}`;
}

/** Waits until the channel is connected; false on failure or timeout. */
async function waitUntilReady(channel: ClientChannel): Promise<boolean> {
  const deadline = Date.now() + connectTimeoutMs;
  let failures = 0;
  while (true) {
    const state = channel.getConnectivityState(true);
    if (state === connectivityState.READY) return true;
    if (state === connectivityState.SHUTDOWN) return false;
    // The first failure may be left over from an earlier connection attempt.
    if (state === connectivityState.TRANSIENT_FAILURE) failures++;
    if (failures > 1) return false;
    const hasChanged = await waitForStateChange(channel, { state, deadline });
    if (!hasChanged) return false;
  }
}

/** Waits until the channel leaves a state; false at the deadline. */
function waitForStateChange(
  channel: ClientChannel,
  options: { readonly state: connectivityState; readonly deadline: number },
): Promise<boolean> {
  return new Promise((resolve) => {
    channel.watchConnectivityState(
      options.state,
      options.deadline,
      (error) => resolve(error === undefined),
    );
  });
}

/** Builds the request of a call that refers to one attempt. */
function toAttemptRequest(placed: PlacedAttempt) {
  return {
    attempt: placed.attempt,
    targetIncarnation: placed.target.incarnation,
  };
}

/** Parses a state; an unknown one counts as no response. */
function parseSettleState(text: string): SettleState {
  return settleStates.find((state) => state === text) ?? "no_answer";
}
