# Plots the tasks started per second against the load on slow controllers. The data comes from load_test's OverloadThroughput with
# SHOW_CURVE=1, and with NO_ADMISSION_CONTROL=1 for the curves without admission control.
#   gnuplot bench/plots/flood.gp     writes docs/images/flood.png
set terminal pngcairo size 760,420 font ",11"
set output "docs/images/flood.png"
set xlabel "offered load, multiple of the controllers' capacity"
set ylabel "tasks started per second (simulated)"
set logscale x 2
set xrange [0.45:9]
set yrange [0:40]
set key left top
set grid
plot "bench/plots/flood.dat" using 1:2 with linespoints lw 2 title "admission control, all slow", \
     "" using 1:3 with linespoints lw 2 title "no admission control, all slow", \
     "" using 1:4 with linespoints lw 2 dt 2 title "admission control, one at 1/5 speed", \
     "" using 1:5 with linespoints lw 2 dt 2 title "no admission control, one at 1/5 speed"
