/**
Loads the bundle beside this file with the bytecode that the build stored, which saves most of the time for compiling it. V8 rejects
bytecode of another version, processor or set of flags; the bundle is then compiled as usual.

Run with the argument `--store-bytecode`, stores the bytecode of the bundle, including all functions that its start has called.
*/
'use strict';
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const bundleFile = path.join(__dirname, 'bundle.cjs');
const bytecodeFile = path.join(__dirname, 'bundle.bytecode');
const storesBytecode = process.argv.includes('--store-bytecode');
const cachedData = existsSync(bytecodeFile) && !storesBytecode ? readFileSync(bytecodeFile) : undefined;
const script = new Script(wrap(readFileSync(bundleFile, 'utf8')), {filename: bundleFile, cachedData});
if (storesBytecode) {
	process.once('exit', () => {
		writeFileSync(bytecodeFile, script.createCachedData());
	});
}

script.runInThisContext()(exports, require, module, bundleFile, __dirname);
