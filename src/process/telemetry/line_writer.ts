/**
 * Writes lines without blocking the process. One write is pending at a time;
 * further lines are buffered up to a limit. Lines beyond the limit are dropped,
 * and a line with their count is written later.
 */

/** The sink that the writer writes to. */
export interface LineWriterHost {
  /** Writes all bytes, then calls `done`, with an error if that failed. */
  write(data: Uint8Array, done: (error: Error | undefined) => void): void;
}

/** Maximum size of the buffer. */
const maxBufferedBytes = 256 * 1024;

/** Time for which lines are buffered before a write. */
const batchDelayMs = 50;

/** A buffered writer of lines. */
export interface LineWriter {
  writeLine(line: string): void;
  /** Returns the number of lines dropped; a failed write counts as one. */
  getDropped(): number;
  /** Writes the buffered lines; the promise never rejects. */
  flush(): Promise<void>;
}

/** Creates a writer with an empty buffer. */
export function createLineWriter(host: LineWriterHost): LineWriter {
  let bufferedLines: string[] = [];
  let bufferedBytes = 0;
  let dropped = 0;
  let unreportedDrops = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let idleListeners: (() => void)[] = [];

  return { writeLine, getDropped: () => dropped, flush };

  function writeLine(line: string): void {
    if (bufferedBytes + line.length > maxBufferedBytes) {
      dropped++;
      unreportedDrops++;
      return;
    }
    bufferedLines.push(line);
    bufferedBytes += line.length + 1;
    timer ??= setTimeout(startWrite, batchDelayMs);
  }

  function startWrite(): void {
    clearTimeout(timer);
    timer = undefined;
    if (isWriting) return;
    if (unreportedDrops > 0) {
      bufferedLines.push(JSON.stringify({
        time: new Date().toISOString(),
        level: "warn",
        message: "Log lines were left out",
        lines: unreportedDrops,
      }));
      unreportedDrops = 0;
    }
    if (bufferedLines.length === 0) return notifyIdle();
    const data = Buffer.from(`${bufferedLines.join("\n")}\n`);
    bufferedLines = [];
    bufferedBytes = 0;
    isWriting = true;
    host.write(data, (error) => {
      isWriting = false;
      // A failed write cannot be reported now; the next write reports it.
      if (error !== undefined) {
        dropped++;
        unreportedDrops++;
      }
      if (bufferedLines.length > 0) startWrite();
      else notifyIdle();
    });
  }

  function notifyIdle(): void {
    const notified = idleListeners;
    idleListeners = [];
    notified.forEach((listener) => listener());
  }

  function flush(): Promise<void> {
    return new Promise((resolve) => {
      idleListeners.push(resolve);
      startWrite();
    });
  }
}
