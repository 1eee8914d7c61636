/**
 * Connections that are given up once a call on one of them got no response.
 *
 * Load pattern: the path to a server is away for seconds. What was sent on a
 * connection meanwhile is lost, and so is the connection. The HTTP library opens
 * another one as soon as a call is given up, which is lost as well while the path is
 * away. Later calls would be sent on such connections, one after the other.
 */

import type { Dispatcher } from "undici";

/** A pool whose calls are given up by a signal. */
export interface RenewedPool {
  /**
   * Sends a request. Once it is aborted before its response begins, no later one
   * is sent on a connection that was open then.
   */
  request(
    options: Dispatcher.RequestOptions & { readonly signal: AbortSignal },
  ): Promise<Dispatcher.ResponseData>;
  /** Ends all connections; calls in flight fail. */
  destroy(): Promise<void>;
}

/** Creates a pool; `create` returns one without connections. */
export function createRenewedPool(create: () => Dispatcher): RenewedPool {
  let current = create();
  /** Pools with calls in flight to which no later call is added. */
  const retired = new Set<Dispatcher>();

  return {
    request,
    destroy: async () => {
      await Promise.all([current, ...retired].map((pool) => pool.destroy()));
    },
  };

  async function request(
    options: Parameters<RenewedPool["request"]>[0],
  ): Promise<Dispatcher.ResponseData> {
    const pool = current;
    try {
      return await pool.request(options);
    } catch (error) {
      if (options.signal.aborted && pool === current) renew();
      throw error;
    }
  }

  function renew(): void {
    const old = current;
    current = create();
    retired.add(old);
    void old.close().catch(() => undefined).then(() => retired.delete(old));
  }
}
