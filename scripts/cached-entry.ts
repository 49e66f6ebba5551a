/**
Entry of the process for the users' platform: loads the bundle beside it with the bytecode that the build stored, which saves most of the
time for compiling it. V8 rejects bytecode of another version, processor or set of flags; the bundle is then compiled as usual.

With the argument `--store-bytecode`, stores the bytecode of the bundle, including all functions that its start has called.
*/
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {createRequire, wrap} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {Script} from 'node:vm';

/** Function that Node.js wraps around a CommonJS module; its parameters are the exports, `require`, the module, its file and its folder. */
type ModuleFunction = (...args: unknown[]) => void;

const entryFile = process.argv[1]!;
const folder = path.dirname(entryFile);
const bundleFile = path.join(folder, 'bundle.cjs');
const bytecodeFile = path.join(folder, 'bundle.bytecode');
const storesBytecode = process.argv.includes('--store-bytecode');
const cachedData = existsSync(bytecodeFile) && !storesBytecode ? readFileSync(bytecodeFile) : undefined;
const script = new Script(wrap(readFileSync(bundleFile, 'utf8')), {filename: bundleFile, ...(cachedData && {cachedData})});
if (storesBytecode) {
	process.once('exit', () => {
		writeFileSync(bytecodeFile, script.createCachedData());
	});
}

const bundle = {exports: {}};
(script.runInThisContext() as ModuleFunction)(bundle.exports, createRequire(entryFile), bundle, bundleFile, folder);
