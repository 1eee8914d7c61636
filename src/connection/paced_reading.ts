/** Reads the pieces of responses at the pace that the process allows. */

import type { Dispatcher } from "undici";
import type { ReadPace } from "../process/admission/read_pace.ts";

/**
 * Creates an interceptor that stops reading a connection while its response has
 * to wait. The peer's bytes then stay in the buffers of the system.
 */
export function createPacedReading(
  pace: ReadPace,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (request, handler) => {
    const onHeaders = handler.onHeaders?.bind(handler);
    const onData = handler.onData?.bind(handler);
    const response = pace.begin();
    let resume = (): void => undefined;
    let isWaiting = false;
    let isWanted = true;

    handler.onHeaders = (status, headers, resumeReading, text) => {
      resume = resumeReading;
      return onHeaders?.(status, headers, resumeWhenDue, text) ?? true;
    };
    handler.onData = (data) => {
      isWanted = onData?.(data) ?? true;
      const waitMs = response.take(1, { bytes: data.length });
      if (waitMs === 0) return isWanted;
      isWaiting = true;
      setTimeout(endWait, waitMs);
      return false;
    };
    return dispatch(request, handler);

    function endWait(): void {
      isWaiting = false;
      if (isWanted) resume();
    }

    /** The reader may want more while the response has to wait. */
    function resumeWhenDue(): void {
      isWanted = true;
      if (!isWaiting) resume();
    }
  };
}
