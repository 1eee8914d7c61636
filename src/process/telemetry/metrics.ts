/** Collects a process's counters, gauges and histograms. */

import { build, type Histogram } from "hdr-histogram-js";

/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>;

/** Percentiles that each histogram reports. */
const percentiles = [50, 95, 99];

/** Maximum value of a histogram, in its own unit; larger ones are clamped. */
const maxTrackedValue = 3_600_000;

/** The metrics of one process. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, labels?: Labels, amount?: number): void;
  /** Records a value in a histogram, such as a time in milliseconds. */
  record(name: string, value: number, labels?: Labels): void;
  /** Registers a gauge that is read each time the metrics are formatted. */
  gauge(name: string, read: () => number): void;
  /** Returns the value of a counter, 0 when it was never counted. */
  getCount(name: string, labels?: Labels): number;
  /** Returns all series in the text format that metric scrapers read. */
  format(): string;
}

/** Creates metrics without any series. */
export function createMetrics(): Metrics {
  const counters = new Map<string, number>();
  const histograms = new Map<
    string,
    {
      readonly name: string;
      readonly labels: Labels;
      readonly values: Histogram;
    }
  >();
  const gauges = new Map<string, () => number>();

  return { count, record, gauge, getCount, format };

  function count(name: string, labels: Labels = {}, amount = 1): void {
    const series = formatSeries(name, labels);
    counters.set(series, (counters.get(series) ?? 0) + amount);
  }

  function getCount(name: string, labels: Labels = {}): number {
    return counters.get(formatSeries(name, labels)) ?? 0;
  }

  function record(name: string, value: number, labels: Labels = {}): void {
    const key = formatSeries(name, labels);
    let histogram = histograms.get(key);
    if (histogram === undefined) {
      const values = build({
        highestTrackableValue: maxTrackedValue,
        numberOfSignificantValueDigits: 2,
      });
      histogram = { name, labels, values };
      histograms.set(key, histogram);
    }
    histogram.values.recordValue(
      Math.min(maxTrackedValue, Math.max(0, Math.round(value))),
    );
  }

  function gauge(name: string, read: () => number): void {
    gauges.set(name, read);
  }

  function format(): string {
    const lines: string[] = [];
    counters.forEach((value, series) => lines.push(`${series} ${value}`));
    gauges.forEach((read, name) => lines.push(`${name} ${read()}`));
    histograms.forEach((histogram) =>
      lines.push(...formatHistogram(histogram))
    );
    return lines.sort().join("\n") + "\n";
  }

  function formatHistogram(
    { name, labels, values }: {
      readonly name: string;
      readonly labels: Labels;
      readonly values: Histogram;
    },
  ): string[] {
    const lines = percentiles.map((percentile) => {
      const quantile = String(percentile / 100);
      const series = formatSeries(name, { ...labels, quantile });
      return `${series} ${values.getValueAtPercentile(percentile)}`;
    });
    lines.push(`${formatSeries(`${name}_count`, labels)} ${values.totalCount}`);
    return lines;
  }
}

/** Formats a series name with its labels in a fixed order. */
function formatSeries(name: string, labels: Labels): string {
  const pairs = Object.entries(labels)
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([label, value]) => `${label}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(",")}}`;
}
