/** Builds dist/jasminehead: an esbuild bundle inside a single executable application. */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {inject} from 'postject';

const {version} = JSON.parse(readFileSync('package.json', 'utf8')) as {version: string};
if (!readFileSync('src/cli/version.ts', 'utf8').includes(`'${version}'`)) {
	throw new Error(`src/cli/version.ts does not name version ${version} of package.json`);
}

mkdirSync('dist', {recursive: true});
await build({
	entryPoints: ['src/cli/main.ts'],
	outfile: 'dist/jasminehead.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	// The native addon of cbor-x cannot be loaded from a single executable, so the bundle takes the pure JavaScript build.
	alias: {'cbor-x': path.resolve('node_modules/cbor-x/index.js')},
	logLevel: 'warning',
});
writeFileSync('dist/sea.json', JSON.stringify({
	main: 'dist/jasminehead.cjs',
	output: 'dist/sea.blob',
	disableExperimentalSEAWarning: true, // eslint-disable-line @typescript-eslint/naming-convention -- field of Node.js
}));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {stdio: ['ignore', 'ignore', 'inherit']});
copyFileSync(process.execPath, 'dist/jasminehead');
chmodSync('dist/jasminehead', 0o755);
await inject('dist/jasminehead', 'NODE_SEA_BLOB', readFileSync('dist/sea.blob'), {sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'});
