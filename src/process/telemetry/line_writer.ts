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
const maxWaitingBytes = 256 * 1024;

/** Time for which lines are collected before a write, in milliseconds. */
const collectMs = 50;

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
  let waiting: string[] = [];
  let waitingBytes = 0;
  let dropped = 0;
  let untold = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let listeners: (() => void)[] = [];

  return { writeLine, getDropped: () => dropped, flush };

  function writeLine(line: string): void {
    if (waitingBytes + line.length > maxWaitingBytes) {
      dropped++;
      untold++;
      return;
    }
    waiting.push(line);
    waitingBytes += line.length + 1;
    timer ??= setTimeout(startWrite, collectMs);
  }

  function startWrite(): void {
    clearTimeout(timer);
    timer = undefined;
    if (isWriting) return;
    if (untold > 0) {
      waiting.push(JSON.stringify({
        time: new Date().toISOString(),
        level: "warn",
        message: "Log lines were left out",
        lines: untold,
      }));
      untold = 0;
    }
    if (waiting.length === 0) return tellIdle();
    const data = Buffer.from(`${waiting.join("\n")}\n`);
    waiting = [];
    waitingBytes = 0;
    isWriting = true;
    host.write(data, (error) => {
      isWriting = false;
      // Without a reader there is nobody to tell but the next reader.
      if (error !== undefined) {
        dropped++;
        untold++;
      }
      if (waiting.length > 0) startWrite();
      else tellIdle();
    });
  }

  function tellIdle(): void {
    const told = listeners;
    listeners = [];
    told.forEach((listener) => listener());
  }

  function flush(): Promise<void> {
    return new Promise((resolve) => {
      listeners.push(resolve);
      startWrite();
    });
  }
}
