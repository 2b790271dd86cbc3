# Draws out/bench.png from out/bench.dat. Blocks of scenarios that were not run are missing.
set terminal pngcairo size 1200,800
set output 'out/bench.png'
set multiplot layout 2,1
set title 'Latency through the entry hosts and direct, ms'
set style data histogram
set logscale y
set xtics rotate by -20
set style fill solid 0.6
set yrange [1:*]
if (exists("has_latency")) plot 'out/bench.dat' index 'added_latency' \
  using 4:xtic(sprintf('%s slots %s %s', strcol(1), strcol(2), strcol(3))) title 'direct', '' index 'added_latency' using 5 title 'through'
set title 'A data centre out at 2 s and back: requests per 100 ms'
unset logscale y
set xtics norotate
set yrange [0:*]
set style data steps
set xlabel 'ms'
if (exists("has_timeline")) plot 'out/bench.dat' index 'data_centre_timeline' using 1:3 title 'failed' lw 2, \
  '' index 'data_centre_timeline' using 1:4 title 'slow (over 25 ms)' lw 2
unset multiplot
