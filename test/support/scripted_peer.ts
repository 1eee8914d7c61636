/**
 * A target in a thread of its own, so that it can write, close and reset while
 * the thread of the test stands still.
 */

import { join } from "node:path";
import { Worker } from "node:worker_threads";

/** What the peer does at once: writes bytes, then ends the connection. */
export interface PeerStep {
  readonly bytes: string;
  /** True when the bytes don't fit into the kernel's buffers. */
  readonly isFlood?: boolean;
  readonly end?: "reset" | "close" | undefined;
}

/** A peer that serves one request in steps. */
export interface ScriptedPeer {
  readonly port: number;
  /** Resolves once the request has arrived. */
  waitForRequest(): Promise<void>;
  /** Stops this thread until the peer has carried out its next step. */
  stepWhileBlocked(): void;
  /** Resolves once the peer has carried out its next step. */
  step(): Promise<void>;
  close(): Promise<void>;
}

/** Positions in the memory that both threads share. */
const slots = { allowed: 0, done: 1, requests: 2 };

/** Starts a peer. */
export async function startScriptedPeer(
  steps: readonly PeerStep[],
): Promise<ScriptedPeer> {
  const memory = new SharedArrayBuffer(
    Object.keys(slots).length * Int32Array.BYTES_PER_ELEMENT,
  );
  const state = new Int32Array(memory);
  const worker = new Worker(join(__dirname, "scripted_peer_worker.js"), {
    workerData: { steps, slots, state: memory },
  });
  const port = await new Promise<number>((resolve, reject) => {
    worker.once("message", resolve);
    worker.once("error", reject);
  });
  return { port, waitForRequest, stepWhileBlocked, step, close };

  async function waitForRequest(): Promise<void> {
    while (Atomics.load(state, slots.requests) === 0) await turn();
  }

  function stepWhileBlocked(): void {
    const number = allowStep();
    Atomics.wait(state, slots.done, number - 1);
  }

  async function step(): Promise<void> {
    const number = allowStep();
    while (Atomics.load(state, slots.done) < number) await turn();
  }

  function allowStep(): number {
    const number = Atomics.add(state, slots.allowed, 1) + 1;
    Atomics.notify(state, slots.allowed);
    return number;
  }

  async function close(): Promise<void> {
    await worker.terminate();
  }
}

/** Resolves in a later turn of the event loop. */
function turn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
