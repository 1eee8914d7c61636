/** What the stand-ins share. */

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Starts to listen at an address; returns the port. */
export function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

/** Decodes a head; returns undefined before all of it has arrived. */
export function tryDecodeHead(bytes) {
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [first, ...lines] = bytes.subarray(0, end).toString("latin1")
    .split("\r\n");
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(":");
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  return { first: first.split(" "), headers, bodyAt: end + 4 };
}
