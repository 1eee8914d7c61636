import { once } from "node:events";
import { formatRequest } from "../../test/support/raw_caller.ts";
import {
  createHead,
  cut,
  done,
  type ReplyServer,
  startServers,
  useReplyServer,
} from "../../test/support/reply_servers.ts";
import type { ReplyHead } from "../types/reply.ts";
import { maxHeldBytes } from "./framed_reply.ts";

const path = "/services/desk/1";

/** Versions of HTTP without chunks that the HTTP parser accepts. */
const versionsWithoutChunks = ["0.9", "1.0", "2.0"];

describe.each(startServers)("a response of %s", (_role, startServer) => {
  const { start, call } = useReplyServer(startServer);

  describe.each(versionsWithoutChunks)("to HTTP/%s", (version) => {
    it("is an error when a body of unknown length is cut", async () => {
      await start((reply) => {
        reply.start(createHead());
        void reply.write(Buffer.from("part"));
        reply.end(cut);
      });
      const responses = await call(formatRequest(path, { version })).readAll();
      expect(responses).toMatchObject([{
        status: 502,
        body: expect.stringContaining("answer_cut"),
        looksWhole: true,
      }]);
    });

    it("has the length of a whole body", async () => {
      await start((reply) => {
        reply.start(createHead());
        void reply.write(Buffer.from("part "));
        void reply.write(Buffer.from("rest"));
        reply.end(done);
      });
      const responses = await call(formatRequest(path, { version })).readAll();
      expect(responses).toMatchObject([{
        status: 200,
        headers: { "content-length": "9", "content-type": "text/plain" },
        body: "part rest",
      }]);
    });

    it("has no chunks though the caller accepts them", async () => {
      await start((reply) => {
        reply.start(createHead());
        void reply.write(Buffer.from("part"));
        reply.end(done);
      });
      const headers = { te: "chunked" };
      const [response] = await call(formatRequest(path, { version, headers }))
        .readAll();
      expect(response?.headers).toMatchObject({ "content-length": "4" });
      expect(response?.headers).not.toHaveProperty("transfer-encoding");
    });

    it("is not begun when the server stops before its end", async () => {
      const { server, written } = await startUnfinished();
      const caller = call(formatRequest(path, { version }));
      await written;
      await server.stop(0);
      await caller.closed;
      expect(caller.getText()).toBe("");
    });

    it("is streamed when its length is known", async () => {
      let finish = (): void => undefined;
      await start((reply) => {
        reply.start(createHead({ length: 9 }));
        void reply.write(Buffer.from("part "));
        finish = () => {
          void reply.write(Buffer.from("rest"));
          reply.end(done);
        };
      });
      const caller = call(formatRequest(path, { version }));
      await caller.waitForText("part ");
      finish();
      expect(await caller.readAll()).toMatchObject([{
        headers: { "content-length": "9" },
        body: "part rest",
      }]);
    });
  });

  describe("that is held until its end", () => {
    it("is an error beyond a size, and stops the request", async () => {
      let isStopped: boolean | undefined;
      await start((reply) => {
        reply.start(createHead());
        const data = Buffer.alloc(maxHeldBytes / 2, "x");
        void reply.write(data);
        void reply.write(data);
        expect(reply.disconnectSignal.aborted).toBe(false);
        void reply.write(Buffer.from("y"));
        isStopped = reply.disconnectSignal.aborted;
        void reply.write(data);
        reply.end(done);
      });
      const responses = await call(formatRequest(path, { version: "1.0" }))
        .readAll();
      expect(responses).toMatchObject([{
        status: 502,
        body: expect.stringMatching(/^\{"error":\{"code":"answer_too_large"/),
      }]);
      expect(isStopped).toBe(true);
    });

    it("may have the largest size", async () => {
      await start((reply) => {
        reply.start(createHead());
        void reply.write(Buffer.alloc(maxHeldBytes, "x"));
        reply.end(done);
      });
      const [response] = await call(formatRequest(path, { version: "1.0" }))
        .readAll();
      expect(response).toMatchObject({ status: 200, looksWhole: true });
      expect(response?.body).toHaveLength(maxHeldBytes);
    });

    it("is an error when a header cannot be sent", async () => {
      const server = await start((reply) => {
        const headers = [{ name: "x-name", value: "\u2603" }];
        reply.start(createHead({ headers }));
        void reply.write(Buffer.from("part"));
        reply.end(done);
      });
      const responses = await call(formatRequest(path, { version: "1.0" }))
        .readAll();
      expect(responses).toMatchObject([{ status: 502 }]);
      expect(server.errors).toHaveLength(1);
    });
  });

  it("is an error when its head cannot be sent, whatever follows", async () => {
    await start((reply) => {
      const headers = [{ name: "x-name", value: "\u2603" }];
      expect(() => reply.start(createHead({ headers }))).toThrow();
      void reply.write(Buffer.from("rest"));
      reply.end(done);
    });
    const close = { connection: "close" };
    const responses = await call(formatRequest(path, { headers: close }))
      .readAll();
    expect(responses).toMatchObject([{
      status: 502,
      body: expect.stringContaining("outcome_unknown"),
    }]);
  });

  describe("without a body", () => {
    const statuses = [["HEAD", 200], ["GET", 204], ["GET", 304]] as const;
    describe.each(statuses)("to %s with status %i", (method, status) => {
      const options = { isHead: method === "HEAD" };
      const close = { connection: "close" };

      it("has no length and leaves the next response whole", async () => {
        await start((reply) => {
          reply.start(createHead({ status }));
          reply.end(done);
        });
        const requests = formatRequest(path, { method }) +
          formatRequest(path, { method, headers: close });
        const responses = await call(requests).readAll(options);
        expect(responses.map((response) => response.status)).toEqual([
          status,
          status,
        ]);
        for (const { headers } of responses) {
          expect(headers).not.toHaveProperty("content-length");
          expect(headers).not.toHaveProperty("transfer-encoding");
        }
      });

      it("is an error when the request fails after its head", async () => {
        await start((reply) => {
          reply.start(createHead({ status }));
          reply.end(cut);
        });
        const request = formatRequest(path, { method, headers: close });
        expect(await call(request).readAll(options)).toMatchObject([{
          status: 502,
        }]);
      });

      it("drops bytes of a body", async () => {
        await start((reply) => {
          reply.start(createHead({ status }));
          void reply.write(Buffer.from("part"));
          reply.end(done);
        });
        const request = formatRequest(path, { method, headers: close });
        const caller = call(request);
        expect(await caller.readAll(options)).toHaveLength(1);
        expect(caller.getText()).not.toContain("part");
      });
    });
  });

  describe("in chunks", () => {
    it("looks cut when its request fails", async () => {
      let fail = (): void => undefined;
      await start((reply) => {
        reply.start(createHead());
        void reply.write(Buffer.from("part"));
        fail = () => reply.end(cut);
      });
      const caller = call(formatRequest(path));
      await caller.waitForText("part");
      fail();
      expect(await caller.readAll()).toMatchObject([{
        status: 200,
        body: "part",
        looksWhole: false,
      }]);
    });

    it("looks cut when the server stops", async () => {
      const { server } = await startUnfinished();
      const caller = call(formatRequest(path));
      await caller.waitForText("part");
      await server.stop(0);
      expect(await caller.readAll()).toMatchObject([{
        headers: { "transfer-encoding": "chunked" },
        body: "part",
        looksWhole: false,
      }]);
    });
  });

  describe("of a known length", () => {
    it("looks cut when its request fails", async () => {
      let fail = (): void => undefined;
      await start((reply) => {
        reply.start(createHead({ length: 9 }));
        void reply.write(Buffer.from("part"));
        fail = () => reply.end(cut);
      });
      const caller = call(formatRequest(path));
      await caller.waitForText("part");
      fail();
      expect(await caller.readAll()).toMatchObject([{
        status: 200,
        body: "part",
        looksWhole: false,
      }]);
    });

    it("looks cut when the server stops", async () => {
      const { server } = await startUnfinished({ length: 9 });
      const caller = call(formatRequest(path));
      await caller.waitForText("part");
      await server.stop(0);
      expect(await caller.readAll()).toMatchObject([{
        headers: { "content-length": "9" },
        body: "part",
        looksWhole: false,
      }]);
    });

    it("is not filled up by the next response", async () => {
      await start((reply) => {
        reply.start(createHead({ length: 9 }));
        void reply.write(Buffer.from("part"));
        reply.end(done);
      });
      const close = { connection: "close" };
      const requests = formatRequest(path) +
        formatRequest(path, { headers: close });
      const [response] = await call(requests).readAll();
      expect(response?.looksWhole ?? false).toBe(false);
    });

    it.each([["one write", ["partrest"]], ["two writes", ["part", "rest"]]])(
      "does not run over into the next response, in %s",
      async (_name, parts) => {
        await start((reply) => {
          reply.start(createHead({ length: 4 }));
          for (const part of parts) void reply.write(Buffer.from(part));
          reply.end(done);
        });
        const close = { connection: "close" };
        const requests = formatRequest(path) +
          formatRequest(path, { headers: close });
        const caller = call(requests);
        await caller.closed;
        expect(caller.getText()).not.toContain("rest");
        expect((await caller.readAll()).length).toBeLessThanOrEqual(1);
      },
    );
  });

  describe("that was destroyed", () => {
    it("is not followed by the response to the next request", async () => {
      let finishFirst = (): void => undefined;
      await start((reply, requestPath) => {
        reply.start(createHead());
        void reply.write(Buffer.from(`answer to ${requestPath}`));
        if (requestPath !== path) return reply.end(done);
        finishFirst = () => reply.end(cut);
      });
      const caller = call(formatRequest(path) + formatRequest(`${path}2`));
      await caller.waitForText("answer to");
      finishFirst();
      expect(await caller.readAll()).toMatchObject([{ looksWhole: false }]);
      expect(caller.getText()).not.toContain(`answer to ${path}2`);
    });

    it("leaves the response before it whole", async () => {
      let finishFirst = (): void => undefined;
      await start((reply, requestPath) => {
        reply.start(createHead());
        void reply.write(Buffer.from(`answer to ${requestPath}`));
        if (requestPath !== path) return reply.end(cut);
        finishFirst = () => reply.end(done);
      });
      const caller = call(formatRequest(path) + formatRequest(`${path}2`));
      await caller.waitForText("answer to");
      finishFirst();
      const [first, ...others] = await caller.readAll();
      expect(first).toMatchObject({
        body: `answer to ${path}`,
        looksWhole: true,
      });
      expect(others.some(({ looksWhole }) => looksWhole)).toBe(false);
    });
  });

  describe("that has ended", () => {
    it.each([["a known length", 4], ["an unknown length", undefined]])(
      "stays whole when it is ended again, with %s",
      async (_name, length) => {
        await start((reply) => {
          reply.start(createHead({ length }));
          void reply.write(Buffer.from("part"));
          reply.end(done);
          reply.end(cut);
        });
        const headers = { connection: "close" };
        const responses = await call(formatRequest(path, { headers }))
          .readAll();
        expect(responses).toMatchObject([{ body: "part", looksWhole: true }]);
      },
    );

    it("takes no more bytes and holds up no writer", async () => {
      let result: Promise<void> | undefined;
      await start(async (reply) => {
        reply.start(createHead());
        await reply.write(Buffer.from("part"));
        reply.end(done);
        result = reply.write(Buffer.from("rest"));
      });
      const headers = { connection: "close" };
      const caller = call(formatRequest(path, { headers }));
      expect(await caller.readAll()).toMatchObject([{
        body: "part",
        looksWhole: true,
      }]);
      expect(await result).toBeUndefined();
    });

    it("is an error when its request is done without a head", async () => {
      await start((reply) => reply.end(done));
      const headers = { connection: "close" };
      const responses = await call(formatRequest(path, { headers })).readAll();
      expect(responses).toMatchObject([{
        status: 502,
        body: expect.stringContaining("outcome_unknown"),
      }]);
    });
  });

  describe("that its caller does not read", () => {
    const data = Buffer.alloc(64 * 1024, "x");

    it("holds up its writer until the caller reads", async () => {
      let written = 0;
      let isHeldUp = (): void => undefined;
      const heldUp = new Promise<void>((resolve) => {
        isHeldUp = resolve;
      });
      await start(async (reply) => {
        reply.start(createHead());
        // A few large writes fill the buffers of both kernels.
        while (written < 2_000) {
          written++;
          const drained = reply.write(data);
          if (drained === undefined) continue;
          isHeldUp();
          await drained;
        }
        reply.end(done);
      });
      const headers = { connection: "close" };
      const caller = call(formatRequest(path, { headers }));
      caller.socket.pause();
      await heldUp;
      expect(written).toBeLessThan(2_000);
      caller.socket.resume();
      const [response] = await caller.readAll();
      expect(response?.looksWhole).toBe(true);
      expect(response?.body).toHaveLength(2_000 * data.length);
    });

    it.each([["the first", path], ["a later", `${path}2`]])(
      "frees %s request when the caller disconnects",
      async (_name, writingPath) => {
        let isWriting = (): void => undefined;
        const writing = new Promise<void>((resolve) => {
          isWriting = resolve;
        });
        let isFreed = (): void => undefined;
        const freed = new Promise<void>((resolve) => {
          isFreed = resolve;
        });
        await start(async (reply, requestPath) => {
          if (requestPath !== writingPath) return;
          reply.start(createHead());
          while (!reply.disconnectSignal.aborted) {
            const drained = reply.write(data);
            if (drained === undefined) continue;
            isWriting();
            await drained;
          }
          reply.end(cut);
          isFreed();
        });
        const caller = call(formatRequest(path) + formatRequest(`${path}2`));
        caller.socket.pause();
        await writing;
        caller.socket.destroy();
        await freed;
      },
    );
  });

  /** Starts a server whose responses do not end. */
  async function startUnfinished(
    head: Partial<ReplyHead> = {},
  ): Promise<{
    readonly server: ReplyServer;
    readonly written: Promise<void>;
  }> {
    let resolveWritten = (): void => undefined;
    const written = new Promise<void>((resolve) => {
      resolveWritten = resolve;
    });
    const server = await start(async (reply) => {
      reply.start(createHead(head));
      void reply.write(Buffer.from("part"));
      resolveWritten();
      await once(reply.disconnectSignal, "abort");
      reply.end(cut);
    });
    return { server, written };
  }
});
