/** Writes the log of a process: one JSON object per line. */

import { createConsola, type LogObject } from "consola/core";

/** Fields of a log line besides its time, level and message. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Severity of a log line, from the lowest to the highest. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** A structured log. */
export interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** What a log needs from its environment. */
export interface LogHost {
  /** Writes one line, without its line break. */
  writeLine(line: string): void;
}

/** The numbers of the levels in consola. */
const consolaLevels: Readonly<Record<LogLevel, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Creates a log that adds `fields` to each line. */
export function createLog(
  host: LogHost,
  options: { readonly level: LogLevel; readonly fields: LogFields },
): Log {
  const logger = createConsola({
    level: consolaLevels[options.level],
    throttle: 0,
    reporters: [{ log: report }],
  });

  return {
    debug: (message, fields) => logger.debug({ message, fields }),
    info: (message, fields) => logger.info({ message, fields }),
    warn: (message, fields) => logger.warn({ message, fields }),
    error: (message, fields) => logger.error({ message, fields }),
  };

  function report(entry: LogObject): void {
    const fields = (entry as { fields?: LogFields }).fields;
    host.writeLine(JSON.stringify({
      time: entry.date.toISOString(),
      level: entry.type,
      message: entry.message ?? String(entry.args[0] ?? ""),
      ...options.fields,
      ...fields,
    }));
  }
}

/** Returns a log whose lines are written inside `measure`. */
export function createMeasuredLog(
  log: Log,
  measure: (write: () => void) => void,
): Log {
  return {
    debug: (...line) => measure(() => log.debug(...line)),
    info: (...line) => measure(() => log.info(...line)),
    warn: (...line) => measure(() => log.warn(...line)),
    error: (...line) => measure(() => log.error(...line)),
  };
}

/** Creates a log host that writes to standard error. */
export function createStandardErrorHost(): LogHost {
  return {
    writeLine: (line) => {
      process.stderr.write(`${line}\n`);
    },
  };
}

/** Creates a log that writes nothing, for tests and tools. */
export function createSilentLog(): Log {
  const ignore = (): void => undefined;
  return { debug: ignore, info: ignore, warn: ignore, error: ignore };
}
