/**
 * Starts the router from its code cache. After an outage most processes start
 * at the same time, and without the cache callers wait for the compiler.
 */

import { join } from "node:path";
import { compileBundle } from "../cli/code_cache.ts";

compileBundle(join(__dirname, "router.cjs")).run();
