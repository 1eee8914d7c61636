/**
 * Writes lines without ever blocking the process: one write is under way at a
 * time, what comes meanwhile waits in a bounded buffer, and what does not fit
 * is counted and told in a line of its own.
 */

/** Where the bytes go. */
export interface LineWriterHost {
  /** Writes all bytes; the callback gets an error when it could not. */
  write(data: Uint8Array, done: (error: Error | undefined) => void): void;
}

/** Bytes that wait at most. */
const maxBufferedBytes = 256 * 1024;

/** Time for which lines are collected before a write, in milliseconds. */
const batchDelayMs = 50;

/** A writer of lines. */
export interface LineWriter {
  writeLine(line: string): void;
  /** Lines that were left out since the start. */
  getDropped(): number;
  /** Writes what waits; the promise never rejects. */
  flush(): Promise<void>;
}

/** Creates a writer with nothing to write. */
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
      // Without a reader there is nobody to tell but the next reader.
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
