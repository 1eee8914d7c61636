import { existsSync } from "node:fs";
import { callService, sendChat, streamChat } from "../harness/chat.ts";
import {
  type RunningProcess,
  startFleet,
  type TestFleet,
} from "../harness/fleet.ts";
import { callHttp, readPath } from "../harness/http.ts";
import { waitFor } from "../harness/wait.ts";
import { classifyDraft } from "../stand_ins/engine/draft.ts";
import { countRuns } from "../harness/counts.ts";

const question = { role: "user", content: "A short note ".repeat(40) } as const;

describe("the request path through the binary", () => {
  let fleet: TestFleet;
  let first: RunningProcess;
  let second: RunningProcess;

  beforeAll(async () => {
    expect(existsSync("dist/mimosatray")).toBe(true);
    fleet = await startFleet({ routers: 2, engines: 3, services: 2 });
    [first, second] = fleet.routers as [RunningProcess, RunningProcess];
  });
  afterAll(() => fleet?.stop());

  describe("chat", () => {
    it("returns the complete text and the outcome", async () => {
      const response = await sendChat(first.callerUrl, {
        messages: [question],
        conversation: "whole",
      });
      expect(response).toMatchObject({ status: 200, outcome: "done" });
      expect(classifyDraft(response.text, 16)).toBe("whole");
    });

    it("streams, and finds its context through the other router", async () => {
      const options = { messages: [question], conversation: "stream" };
      const response = await streamChat(first.callerUrl, options);
      expect(response).toMatchObject({ isComplete: true, isCut: false });
      expect(classifyDraft(response.text, 16)).toBe("whole");
      const secondResponse = await streamChat(second.callerUrl, {
        ...options,
        messages: [
          question,
          { role: "assistant", content: response.text },
          { role: "user", content: "Shorter" },
        ],
      });
      expect(secondResponse.targetId).toBe(response.targetId);
      expect(secondResponse.cachedTokens).toBeGreaterThan(100);
    });

    it("is cancelled at the engine when the caller disconnects", async () => {
      const abortController = new AbortController();
      const cancelledBefore = await countCancelled();
      const chat = streamChat(first.callerUrl, {
        messages: [question],
        conversation: "gone",
        maxTokens: 2000,
        signal: abortController.signal,
        onText: () => abortController.abort(),
      });
      expect((await chat).isCut).toBe(true);
      while (await countCancelled() === cancelledBefore) {
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
    });
  });

  describe("calls", () => {
    it("runs a call at most once per idempotency key", async () => {
      const call = {
        path: "/orders",
        body: { callId: "order-path" },
        key: "key-path",
      };
      const responses = await Promise.all(
        [first, second, first, second].map(({ callerUrl }) =>
          callService(callerUrl, call)
        ),
      );
      expect(await countRuns(fleet, "order-path")).toBe(1);
      const replay = await callService(second.callerUrl, call);
      expect(replay.status).toBe(200);
      for (const response of responses) {
        if (response.status === 200) expect(response.text).toBe(replay.text);
        else expect(response.headers["x-outcome"]).toBe("unknown");
      }
      expect(await countRuns(fleet, "order-path")).toBe(1);
    });

    it("refuses a different request with the same key", async () => {
      const key = "key-reused";
      const path = "/orders";
      await callService(first.callerUrl, {
        path,
        key,
        body: { callId: "order-a" },
      });
      const otherResponse = await callService(second.callerUrl, {
        path,
        key,
        body: { callId: "order-b" },
      });
      expect(otherResponse.status).toBe(422);
      expect(readPath(otherResponse.json, "error.code")).toBe("key_reused");
      expect(await countRuns(fleet, "order-b")).toBe(0);
    });

    it("forwards a retryable call", async () => {
      const response = await callService(first.callerUrl, {
        path: "/proofs/7",
      });
      expect(response).toMatchObject({
        status: 200,
        json: { call: "GET /proofs/7" },
      });
    });
  });

  describe("operators", () => {
    it("read health, metrics, status and the full state", async () => {
      const [health, metrics, status, dump] = await Promise.all(
        ["/healthz", "/metrics", "/status", "/dump"]
          .map((path) => callHttp(`${first.adminUrl}${path}`)),
      );
      expect(health?.status).toBe(200);
      expect(metrics?.text).toContain('requests_total{code="done"');
      expect(status?.json).toMatchObject({ id: "router-1", isReady: true });
      expect(Object.keys(dump?.json ?? {})).toEqual(
        expect.arrayContaining(["status", "configuration", "fleet", "role"]),
      );
    });

    it("find a request id in the logs of router and agent", async () => {
      const response = await sendChat(first.callerUrl, {
        messages: [question],
        conversation: "trace",
        headers: { "x-request-id": "trace-me-1" },
      });
      expect(response.status).toBe(200);
      // The router logs the request after it has sent the response.
      await waitFor("log lines of router and agent", () => {
        const roles = fleet.getProcesses().filter(({ child }) =>
          child.getLines().some((line) => line.includes("trace-me-1"))
        ).map(({ role }) => role);
        return roles.sort().join() === "agent,router";
      });
    });
  });

  async function countCancelled(): Promise<number> {
    const counts = await Promise.all(
      fleet.engines.map(({ url }) => callHttp(`${url}/counts`)),
    );
    return counts.reduce(
      (sum, { json }) => sum + Number(json?.["cancelled"]),
      0,
    );
  }
});
